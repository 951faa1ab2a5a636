package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares with a file in testdata, byte for byte.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("%s, line %d:\n got %q\nwant %q", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
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
