package soak

import (
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	killDaemon      faultKind = iota // SIGKILL, and a start anew by the list of the run's start
	restartDaemon                    // SIGTERM, and a start anew
	holdDaemon                       // SIGSTOP and SIGCONT
	drainWorker                      // listed as draining, then removed, then back, its process running all the time
	removeWorker                     // removed at once and listed again later
	hangWorker                       // takes requests and says nothing for a while
	resetWorker                      // resets its connections
	discoveryDown                    // calls are refused or get 503, watches end
	discoverySilent                  // watches fall silent, in the middle of a line or between two
	discoveryBreaks                  // so do answers to calls
	kinds
)

func (k faultKind) String() string {
	return [...]string{"kill", "restart", "hold", "drain", "remove", "hang", "reset", "discovery down", "discovery silent", "discovery breaks off"}[k]
}

// fault is one fault of a schedule.
type fault struct {
	kind   faultKind
	at     time.Duration // from the start on
	lasts  time.Duration
	target int // a dispatcher or a worker, by number
}

// longestFault is how long a fault lasts at the most, by kind.
var longestFault = [kinds]time.Duration{
	killDaemon: 2 * time.Second, restartDaemon: 9 * time.Second, holdDaemon: 9 * time.Second,
	drainWorker: 8 * time.Second, removeWorker: 10 * time.Second, hangWorker: 3 * time.Second,
	discoveryDown: 9 * time.Second, discoverySilent: 8 * time.Second, discoveryBreaks: 8 * time.Second,
}

// schedule draws the faults of a seed. They overlap: about one begins each second.
func schedule(seed uint64, c Config) (faults []fault) {
	random := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); at < c.For; at += time.Duration(random.IntN(int(2 * time.Second))) {
		f := fault{kind: faultKind(random.IntN(int(kinds))), at: at}
		if longest := longestFault[f.kind]; longest > 0 {
			f.lasts = longest/10 + time.Duration(random.Int64N(int64(longest*9/10)))
		}
		switch f.kind {
		case killDaemon, restartDaemon, holdDaemon:
			f.target = c.Traced + random.IntN(c.Daemons-c.Traced) // signals and ptrace do not mix
		case drainWorker, removeWorker, hangWorker, resetWorker:
			f.target = random.IntN(c.Workers * 2 / 3) // the others stay, so that service is possible
		}
		faults = append(faults, f)
	}
	return faults
}
