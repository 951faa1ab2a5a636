package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The input of a recorded conversation of two dispatchers with the simulator gets the
// recorded replies, byte for byte. The replies have every command except release, which
// TestEncode of package simwire covers.
func TestConversation(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "conversation.in"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{
		"assign", "not_now", "finish_error", "stop_attempt", "set_alarm", "probe", "listen", "say_log",
	} {
		if !bytes.Contains(out.Bytes(), []byte(`{"cmd":"`+command+`"`)) {
			t.Errorf("the conversation has no %s", command)
		}
	}
	goldentest.Compare(t, "conversation.golden", out.String())
}
