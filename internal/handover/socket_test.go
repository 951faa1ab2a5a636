package handover

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Dial reaches a listener whose path is short or long, also one that has replaced the file
// of a dead process. It fails if there is no listener or no directory.
func TestDialAndListen(t *testing.T) {
	shortDirectory, err := os.MkdirTemp("", "y")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(shortDirectory)
	longDirectory := filepath.Join(shortDirectory, strings.Repeat("long-", 30))
	os.Mkdir(longDirectory, 0o700)
	for _, directory := range []string{shortDirectory, longDirectory} {
		path := SocketPath(directory, "n0 127.0.0.1:80")
		if path == SocketPath(directory, "n1 127.0.0.1:80") {
			t.Error("two dispatchers have the same socket path")
		}
		if _, err := Dial(path, testTimeout); err == nil {
			t.Errorf("%s: connected without a listener", path)
		}
		deadListener, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		deadListener.Close()
		if _, err := os.Lstat(path); err != nil {
			t.Fatalf("the file was removed when its listener was closed: %v", err)
		}
		if _, err := Dial(path, testTimeout); err == nil {
			t.Errorf("%s: connected to a dead process", path)
		}
		peer := newTestPeer(t, path)
		conn, _ := peer.connect(t)
		conn.Close()
		receiveValue(t, peer.lost)
	}
	if SocketPath("", "n0") != "" {
		t.Error("SocketPath returns a path without a directory")
	}
	if _, err := Dial("", testTimeout); !errors.Is(err, ErrNoDirectory) {
		t.Errorf("Dial without a directory: %v", err)
	}
	if _, err := Listen(""); !errors.Is(err, ErrNoDirectory) {
		t.Errorf("Listen without a directory: %v", err)
	}
}
