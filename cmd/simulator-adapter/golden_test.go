package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// golden compares with a file in testdata, byte for byte.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	goldentest.Compare(t, name, string(got))
}

// The wire of the simulator, byte for byte: a recorded conversation of two
// dispatchers is answered as it was when it was recorded. It holds every command
// but release, whose form TestEncode of the wire's package holds.
func TestConversation(t *testing.T) {
	in, err := os.ReadFile(filepath.Join("testdata", "conversation.in"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{
		"assign", "not_now", "finish_error", "stop_attempt", "set_alarm", "probe", "listen", "say_log",
	} {
		if !bytes.Contains(out.Bytes(), []byte(`{"cmd":"`+command+`"`)) {
			t.Errorf("the conversation holds no %s", command)
		}
	}
	golden(t, "conversation.golden", out.Bytes())
}
