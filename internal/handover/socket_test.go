package handover

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Dial reaches a listener whatever the length of its path, and one that replaced the
// file of a dead process; it fails without a listener or a directory.
func TestDialAndListen(t *testing.T) {
	short, err := os.MkdirTemp("", "y")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(short)
	long := filepath.Join(short, strings.Repeat("long-", 30))
	os.Mkdir(long, 0o700)
	for _, directory := range []string{short, long} {
		path := SocketPath(directory, "n0 127.0.0.1:80")
		if path == SocketPath(directory, "n1 127.0.0.1:80") {
			t.Error("two dispatchers have one socket")
		}
		if _, err := Dial(path, testTimeout); err == nil {
			t.Errorf("%s: connected without a listener", path)
		}
		dead, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		dead.Close()
		if _, err := os.Lstat(path); err != nil {
			t.Fatalf("the file is gone with its process: %v", err)
		}
		if _, err := Dial(path, testTimeout); err == nil {
			t.Errorf("%s: connected to a dead process", path)
		}
		peer := newTestPeer(t, path)
		conn, _ := peer.connect(t)
		conn.Close()
		receive(t, peer.lost)
	}
	if SocketPath("", "n0") != "" {
		t.Error("a path without a directory")
	}
	if _, err := Dial("", testTimeout); !errors.Is(err, ErrNoDirectory) {
		t.Errorf("Dial without a directory: %v", err)
	}
	if _, err := Listen(""); !errors.Is(err, ErrNoDirectory) {
		t.Errorf("Listen without a directory: %v", err)
	}
}
