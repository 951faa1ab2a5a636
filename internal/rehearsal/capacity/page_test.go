package capacity

import (
	"bytes"
	"os"
	"testing"
)

// dataDir is the directory of the committed runs and assumptions.
const dataDir = "../../../docs/capacity"

// The committed page is the one that the committed runs and assumptions give.
func TestPageFollowsRuns(t *testing.T) {
	want, err := Write(dataDir)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("docs/CAPACITY.md does not match the data in docs/capacity: run make capacity")
	}
}
