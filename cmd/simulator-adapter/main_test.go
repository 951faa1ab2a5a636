package main

import (
	"bytes"
	"strings"
	"testing"
)

const startLine = `{"moment_us":1000,"turn":1,"msgs":[` +
	`{"cmd":"boot","dispatcher":0,"rng_seed":1,"params":{"classes":[{"deadline_us":5000000,"repeat":"retryable",` +
	`"slo_us":200000,"worth":1}],"peers_total":1,"tick_us":1000,"limits":{"max_attempts":2}}},` +
	`{"cmd":"table","table":0,"elements":[{"worker":"w:1","readiness":"Running"}]},` +
	`{"cmd":"roster_change","dispatcher":0,"how":"Persisted","table":0}]}` + "\n"

func TestRunServes(t *testing.T) {
	in := `{"moment_us":1,"turn":0,"msgs":[]}` + "\n" + startLine +
		`{"moment_us":2000,"turn":2,"msgs":[{"cmd":"ingress","dispatcher":0,"corr":9,"class":0,"needs":1,"left_us":5000000}]}` + "\n" +
		`{"moment_us":3000,"turn":3,"msgs":[{"cmd":"exit","dispatcher":0},{"cmd":"due","dispatcher":0,"handle":9}]}` // no newline
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || lines[0] != `{"turn":0,"cmds":[]}` || lines[3] != `{"turn":3,"cmds":[]}` {
		t.Fatalf("replies %q", lines)
	}
	if !strings.Contains(lines[2], `{"cmd":"assign","dispatcher":0,"corr":9,"worker":"w:1"}`) {
		t.Fatalf("no assign in %s", lines[2])
	}
}

func TestRunRejectsInvalidInput(t *testing.T) {
	for _, in := range []string{
		"nonsense\n",
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"due","dispatcher":5,"handle":1}]}` + "\n",
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"boot","dispatcher":0,"params":{}}]}` + "\n",
	} {
		var out bytes.Buffer
		if err := run(strings.NewReader(in), &out); err == nil || out.Len() != 0 {
			t.Errorf("%q: error %v, output %q", in, err, out.String())
		}
	}
}

// The same events give the same actions in every run.
func TestRunIsDeterministic(t *testing.T) {
	var first, second bytes.Buffer
	in := startLine + `{"moment_us":2000,"turn":2,"msgs":[{"cmd":"ingress","dispatcher":0,"corr":9,"class":0,"left_us":50000}]}`
	if err := run(strings.NewReader(in), &first); err != nil {
		t.Fatal(err)
	}
	if err := run(strings.NewReader(in), &second); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Fatal("two runs differ")
	}
}
