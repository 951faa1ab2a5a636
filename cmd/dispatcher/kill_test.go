package main

import (
	"os"
	"strconv"
	"testing"
)

// The kill test: the dispatcher and its workers, each a process, are killed at
// seeded moments while renewals are pushed and run. The workers write to a ledger file,
// which a kill does not touch, what ran; the calls of each process and their answers are
// a history, which porcupine checks for linearizability against the rules of leases. A
// build without the check of fences must fail both checks.

// Bounds of the kill test.
const (
	defaultKills    = 12
	defaultRenewals = 200
	longRunRenewals = 2000
	slowShare       = 0.02 // of the jobs, before which a worker pauses
	firstKillSeed   = 7
)

// Three kinds of workers are killed with the dispatcher at seeded moments.
func TestKills(t *testing.T) {
	maxKills := defaultKills
	renewals := defaultRenewals
	if kills, _ := strconv.Atoi(os.Getenv("HOLLYYOKE_KILLS")); kills > 0 { // the long run
		maxKills = kills
		renewals = longRunRenewals
	}
	for i, promise := range []string{promiseNothing, promiseFences, promiseIdempotent} {
		report := runKills(t, killOptions{
			promise:  promise,
			seed:     firstKillSeed + uint64(i),
			maxKills: maxKills,
			renewals: renewals,
			slow:     slowShare,
		})
		t.Logf("workers that promise %q: %d kills, %d renewals in %.0f s: %d done, %d in doubt (%d ran), %d dead; %d ran twice, %d never, %d histories illegal",
			promise, report.kills, report.jobs, report.seconds, report.done, report.inDoubt, report.inDoubtRan, report.dead, report.ranTwice, report.neverRan, report.illegal)
		switch {
		case report.kills < maxKills || report.jobs < renewals:
			t.Errorf("%q: the run is too short: %+v", promise, report)
		case report.ranTwice+report.neverRan+report.dead+report.illegal > 0:
			t.Errorf("%q: %+v", promise, report)
		case report.inDoubt > 8*maxKills || promise == promiseIdempotent && report.inDoubt > 0:
			t.Errorf("%q: too many are in doubt: %+v", promise, report)
		}
		if report.done < report.jobs*8/10 {
			t.Errorf("%q: only %d of %d done", promise, report.done, report.jobs)
		}
	}
}
