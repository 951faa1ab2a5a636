package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// requestFault is what goes wrong with one attempt at its worker.
type requestFault int

const (
	noRequestFault     requestFault = iota
	breakBeforeBody                 // the connection breaks before the body is read
	breakBeforeHead                 // it breaks once all of the request is read
	breakInsideHead                 // it breaks inside the head of the response
	breakAfterStart                 // it breaks behind the line that says 'started'
	breakInsideLine                 // it breaks inside a line
	breakAfterEnd                   // it breaks behind the line that says 'done', and the response does not end
	answerEarly                     // the worker refuses before it has read the body
	answerReturned                  // the worker takes the job and hands it back unstarted
	answerFailed                    // the job fails
	closeAfterResponse              // the response says 'Connection: close'
	breakAtNextRequest              // the connection breaks as the next request comes
	closeIdle                       // it is closed some milliseconds after the response
	stallReading                    // the body is read late, so that a large one leaves in pieces
	secondResponse                  // a second response comes some milliseconds later
	requestFaultKinds               // the number of kinds
)

// requestFaultShare is how many attempts there are for each that has a fault.
const requestFaultShare = 5

// jobPlan is what becomes of one attempt at its worker.
type jobPlan struct {
	fault requestFault
	reset bool          // the connection breaks by a reset; else it is closed
	run   time.Duration // how long the job runs
	pause time.Duration // of closeIdle, stallReading and secondResponse
}

// runTimes are the shortest, the mean and the longest run time by class; the mean is that of the part above the shortest.
var runTimes = map[string]struct{ shortest, mean, longest time.Duration }{
	classStatusCheck: {10 * time.Millisecond, 80 * time.Millisecond, 600 * time.Millisecond},
	classRenewal:     {50 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond},
	classTransfer:    {20 * time.Millisecond, 150 * time.Millisecond, time.Second},
}

const (
	maxIdlePause  = 15 * time.Millisecond
	maxStallPause = 400 * time.Millisecond
)

// drawJob draws what becomes of an attempt, by the seed of the run, the request and how many attempts of it came before.
func drawJob(seed uint64, id, class string, before int) jobPlan {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(seed+uint64(before), hash.Sum64()))
	plan := jobPlan{reset: random.IntN(2) == 0, pause: time.Duration(random.Int64N(int64(maxIdlePause)))}
	times := runTimes[class]
	plan.run = min(times.shortest+time.Duration(random.ExpFloat64()*float64(times.mean)), times.longest)
	if random.IntN(requestFaultShare) == 0 {
		plan.fault = 1 + requestFault(random.IntN(int(requestFaultKinds)-1))
	}
	if plan.fault == stallReading {
		plan.pause = time.Duration(random.Int64N(int64(maxStallPause)))
	}
	return plan
}
