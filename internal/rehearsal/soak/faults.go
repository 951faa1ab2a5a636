package soak

import (
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	faultKill               faultKind = iota // SIGKILL; the dispatcher then starts with the endpoint list from the start of the run
	faultRestart                             // a series of SIGHUP and SIGTERM, SIGKILL if the shutdown takes too long, and a start
	faultReload                              // a series of SIGHUP
	faultPause                               // SIGSTOP, and SIGCONT later
	faultDrain                               // a worker is listed as draining, then removed, then listed as ready again
	faultRemove                              // a worker is removed from the list, and listed again later
	faultHang                                // a worker accepts requests and does not answer for a while
	faultReset                               // a worker resets its connections
	faultDiscoveryDown                       // requests to the discovery service get 503, and watches end
	faultDiscoverySilent                     // watches stop sending in the middle of a line
	faultDiscoveryTruncates                  // the answer to a new request stops in the middle of its first line
	faultUnnotifiedDrain                     // faultDiscoverySilent and faultDiscoveryTruncates, while workers drain and are removed
	faultRetire                              // like faultDrain, for a longer time
	faultConnectionFlood                     // silent connections fill a dispatcher's descriptors
	faultKinds                               // number of kinds
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
	faultUnnotifiedDrain:    "blind drain",
	faultRetire:             "retire",
	faultConnectionFlood:    "crowd",
}

// String returns the name of the kind.
func (k faultKind) String() string { return faultNames[k] }

// fault is one fault of the schedule.
type fault struct {
	kind     faultKind
	start    time.Duration // time since the start of the run
	duration time.Duration
	target   int // index of a dispatcher or a worker

	signals          signalSeries // the signals of a restart or a reload
	workersHang      bool         // during a restart, some workers hang
	discoveryDown    bool         // during a restart, the discovery service is down
	floodConnections int          // number of connections of a flood
	oneByOne         bool         // the connections of a flood are opened one by one instead of at once
}

// maxDuration is the maximum duration of a fault, by kind. Kinds without an entry have no duration.
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
	faultUnnotifiedDrain:    14 * time.Second,
	faultRetire:             20 * time.Second,
	faultConnectionFlood:    2 * time.Second,
}

// minUnnotifiedDrain is the minimum duration of a faultUnnotifiedDrain.
const minUnnotifiedDrain = 10 * time.Second

// maxFaultInterval is the maximum time from the start of a fault to the start of the next one.
const maxFaultInterval = 2 * time.Second

// scheduleFaults returns the random faults that follow from a seed. They overlap: on average, one begins each second.
func scheduleFaults(seed uint64, config Config) []fault {
	random := rand.New(rand.NewPCG(seed, faultScheduleStream))
	var faults []fault
	start := time.Duration(0)
	for start < config.Duration {
		faults = append(faults, drawFault(start, config, random))
		start += time.Duration(random.IntN(int(maxFaultInterval)))
	}
	return faults
}

// drawFault returns a fault with a random kind, duration and target, which begins at start.
func drawFault(start time.Duration, config Config, random *rand.Rand) fault {
	drawn := fault{kind: faultKind(random.IntN(int(faultKinds))), start: start}
	if longest := maxDuration[drawn.kind]; longest > 0 {
		drawn.duration = longest/10 + time.Duration(random.Int64N(int64(longest*9/10)))
	}
	switch drawn.kind {
	case faultKill, faultRestart, faultReload, faultPause, faultConnectionFlood:
		// The first dispatchers are traced and left out, because signals interfere with ptrace.
		drawn.target = config.TracedDaemons + random.IntN(config.Daemons-config.TracedDaemons)
	case faultDrain, faultRemove, faultHang, faultReset, faultRetire, faultUnnotifiedDrain:
		drawn.target = random.IntN(config.Workers * 2 / 3) // the last third of the workers has no such faults, so that requests can be served
	}
	switch drawn.kind {
	case faultRestart:
		drawn.signals = drawSignals(true, random)
		drawn.workersHang = random.IntN(3) == 0
		drawn.discoveryDown = random.IntN(4) == 0
	case faultReload:
		drawn.signals = drawSignals(false, random)
	case faultConnectionFlood:
		drawn.floodConnections = minFloodConnections + random.IntN(maxFloodConnections-minFloodConnections)
		drawn.oneByOne = random.IntN(2) == 0
	case faultUnnotifiedDrain: // long enough for the dispatchers' notification deadline to pass
		drawn.duration = max(drawn.duration, minUnnotifiedDrain)
	}
	return drawn
}
