package main

import (
	"bytes"
	"strings"
	"testing"
)

// startLine starts an instance with one class and one worker.
const startLine = `{"moment_us":1000,"turn":1,"msgs":[` +
	`{"cmd":"boot","dispatcher":0,"rng_seed":1,"params":{"classes":[{"deadline_us":5000000,"repeat":"retryable",` +
	`"slo_us":200000,"worth":1}],"peers_total":1,"tick_us":1000,"limits":{"max_attempts":2}}},` +
	`{"cmd":"table","table":0,"elements":[{"worker":"w:1","readiness":"Running"}]},` +
	`{"cmd":"roster_change","dispatcher":0,"how":"Persisted","table":0}]}` + "\n"

// Each batch gets a reply, including a last one without a line end.
func TestRunServes(t *testing.T) {
	input := `{"moment_us":1,"turn":0,"msgs":[]}` + "\n" + startLine +
		`{"moment_us":2000,"turn":2,"msgs":[{"cmd":"ingress","dispatcher":0,"corr":9,"class":0,"needs":1,"left_us":5000000}]}` + "\n" +
		`{"moment_us":3000,"turn":3,"msgs":[{"cmd":"exit","dispatcher":0},{"cmd":"due","dispatcher":0,"handle":9}]}`
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(replies) != 4 || replies[0] != `{"turn":0,"cmds":[]}` || replies[3] != `{"turn":3,"cmds":[]}` {
		t.Fatalf("replies %q", replies)
	}
	if !strings.Contains(replies[2], `{"cmd":"assign","dispatcher":0,"corr":9,"worker":"w:1"}`) {
		t.Fatalf("no assign in %s", replies[2])
	}
}

// Malformed or invalid input ends the run without a reply.
func TestRunRejectsInvalidInput(t *testing.T) {
	for _, input := range []string{
		"nonsense\n",
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"due","dispatcher":5,"handle":1}]}` + "\n",
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"boot","dispatcher":0,"params":{}}]}` + "\n",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(input), &out)
		if err == nil || out.Len() != 0 {
			t.Errorf("%q: error %v, output %q", input, err, out.String())
		}
	}
}

// The same events give the same actions in every run.
func TestRunIsDeterministic(t *testing.T) {
	var first, second bytes.Buffer
	input := startLine + `{"moment_us":2000,"turn":2,"msgs":[{"cmd":"ingress","dispatcher":0,"corr":9,"class":0,"left_us":50000}]}`
	if err := run(strings.NewReader(input), &first); err != nil {
		t.Fatal(err)
	}
	if err := run(strings.NewReader(input), &second); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Fatal("two runs differ")
	}
}
