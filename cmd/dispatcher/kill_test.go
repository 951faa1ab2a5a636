package main

import (
	"os"
	"strconv"
	"testing"
)

// In the kill test the dispatcher and its workers, each of which is a process, are killed at
// times that a seed determines, while renewals are pushed and run. The workers record each
// run in a ledger file, which survives a kill. The calls of all processes and their answers
// form a history, which porcupine checks for linearizability against the rules of leases. A
// build without the check of fences must fail both checks.

// Parameters of the kill test.
const (
	defaultKills    = 12
	defaultRenewals = 200
	longRunRenewals = 2000
	pauseShare      = 0.02 // share of the jobs before which a worker pauses
	firstKillSeed   = 7
)

// Over kills of the dispatcher and its workers no job runs twice or is lost, whatever the
// workers guarantee.
func TestKills(t *testing.T) {
	maxKills := defaultKills
	renewals := defaultRenewals
	if kills, _ := strconv.Atoi(os.Getenv("HOLLYYOKE_KILLS")); kills > 0 { // the long run
		maxKills = kills
		renewals = longRunRenewals
	}
	for i, guarantee := range []string{guaranteeNone, guaranteeFences, guaranteeIdempotent} {
		report := runKills(t, killOptions{
			guarantee:  guarantee,
			seed:       firstKillSeed + uint64(i),
			maxKills:   maxKills,
			renewals:   renewals,
			pauseShare: pauseShare,
		})
		t.Logf("workers with guarantee %q: %d kills, %d renewals in %.0f s: %d done, %d in doubt (%d ran), %d dead; %d ran twice, %d never, %d histories not linearizable",
			guarantee, report.kills, report.jobs, report.seconds, report.done, report.inDoubt, report.inDoubtRan, report.dead, report.ranTwice, report.neverRan, report.notLinearizable)
		switch {
		case report.kills < maxKills || report.jobs < renewals:
			t.Errorf("%q: the run is too short: %+v", guarantee, report)
		case report.ranTwice+report.neverRan+report.dead+report.notLinearizable > 0:
			t.Errorf("%q: %+v", guarantee, report)
		case report.inDoubt > 8*maxKills || guarantee == guaranteeIdempotent && report.inDoubt > 0:
			t.Errorf("%q: too many are in doubt: %+v", guarantee, report)
		}
		if report.done < report.jobs*8/10 {
			t.Errorf("%q: only %d of %d done", guarantee, report.done, report.jobs)
		}
	}
}
