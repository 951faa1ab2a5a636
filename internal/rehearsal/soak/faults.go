package soak

import (
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	faultKill               faultKind = iota // SIGKILL, and a start with the endpoint list of the run's start
	faultRestart                             // SIGHUP and SIGTERM in a series, SIGKILL when the time is over, and a start
	faultReload                              // SIGHUP in a series
	faultPause                               // SIGSTOP, and SIGCONT
	faultDrain                               // a worker is listed as draining, then removed, then listed again
	faultRemove                              // a worker is removed and listed again later
	faultHang                                // a worker accepts requests and does not answer for a while
	faultReset                               // a worker resets its connections
	faultDiscoveryDown                       // requests fail or get 503, watches end
	faultDiscoverySilent                     // watches fall silent, within a line or between two
	faultDiscoveryTruncates                  // answers to requests fall silent within a line
	faultBlindDrain                          // watches and answers fall silent, and workers drain and are removed meanwhile
	faultRetire                              // a worker drains and is removed for long
	faultCrowd                               // connections that send nothing fill a dispatcher's descriptors
	faultKinds                               // the number of kinds
)

var faultNames = [faultKinds]string{
	faultKill:               "kill",
	faultRestart:            "restart",
	faultReload:             "reload",
	faultPause:              "pause",
	faultDrain:              "drain",
	faultRemove:             "remove",
	faultHang:               "hang",
	faultReset:              "reset",
	faultDiscoveryDown:      "discovery down",
	faultDiscoverySilent:    "discovery silent",
	faultDiscoveryTruncates: "discovery truncates",
	faultBlindDrain:         "blind drain",
	faultRetire:             "retire",
	faultCrowd:              "crowd",
}

// String names the kind.
func (k faultKind) String() string { return faultNames[k] }

// fault is one fault of a schedule.
type fault struct {
	kind     faultKind
	start    time.Duration // since the start of the run
	duration time.Duration
	target   int // index of a dispatcher or a worker

	signals       signalSeries // of a restart or a reload
	workersHang   bool         // through the whole of a restart
	discoveryDown bool         // likewise
	crowd         int          // connections
	oneByOne      bool         // they come so, and else at once
}

// maxDuration is the longest duration of a fault by its kind.
var maxDuration = [faultKinds]time.Duration{
	faultKill:               2 * time.Second,
	faultRestart:            4 * time.Second,
	faultPause:              9 * time.Second,
	faultDrain:              8 * time.Second,
	faultRemove:             10 * time.Second,
	faultHang:               3 * time.Second,
	faultDiscoveryDown:      9 * time.Second,
	faultDiscoverySilent:    8 * time.Second,
	faultDiscoveryTruncates: 8 * time.Second,
	faultBlindDrain:         14 * time.Second,
	faultRetire:             20 * time.Second,
	faultCrowd:              2 * time.Second,
}

// minBlindTime is the shortest duration of faultBlindDrain.
const minBlindTime = 10 * time.Second

// maxFaultInterval is the longest time between the starts of two faults.
const maxFaultInterval = 2 * time.Second

// schedule draws the faults of a seed. They overlap: about one begins each second.
func schedule(seed uint64, config Config) []fault {
	random := rand.New(rand.NewPCG(seed, faultScheduleStream))
	var faults []fault
	start := time.Duration(0)
	for start < config.Duration {
		faults = append(faults, drawFault(start, config, random))
		start += time.Duration(random.IntN(int(maxFaultInterval)))
	}
	return faults
}

// drawFault draws the kind, the duration and the target of a fault.
func drawFault(start time.Duration, config Config, random *rand.Rand) fault {
	drawn := fault{kind: faultKind(random.IntN(int(faultKinds))), start: start}
	if longest := maxDuration[drawn.kind]; longest > 0 {
		drawn.duration = longest/10 + time.Duration(random.Int64N(int64(longest*9/10)))
	}
	switch drawn.kind {
	case faultKill, faultRestart, faultReload, faultPause, faultCrowd:
		drawn.target = config.Traced + random.IntN(config.Daemons-config.Traced) // signals interfere with ptrace
	case faultDrain, faultRemove, faultHang, faultReset, faultRetire, faultBlindDrain:
		drawn.target = random.IntN(config.Workers * 2 / 3) // the others stay, so that requests can be served
	}
	switch drawn.kind {
	case faultRestart:
		drawn.signals = drawSignals(true, random)
		drawn.workersHang = random.IntN(3) == 0
		drawn.discoveryDown = random.IntN(4) == 0
	case faultReload:
		drawn.signals = drawSignals(false, random)
	case faultCrowd:
		drawn.crowd = minCrowd + random.IntN(maxCrowd-minCrowd)
		drawn.oneByOne = random.IntN(2) == 0
	case faultBlindDrain: // long enough for the notification to be due
		drawn.duration = max(drawn.duration, minBlindTime)
	}
	return drawn
}
