package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// attemptFault is a fault that a worker injects into one attempt.
type attemptFault int

const (
	noAttemptFault     attemptFault = iota
	breakBeforeBody                 // the connection breaks before the request's body is read
	breakBeforeHeader               // the connection breaks after the request is read, before the response
	breakInsideHeader               // the connection breaks inside the header of the response
	breakAfterStart                 // the connection breaks after the line with the state 'started'
	breakInsideLine                 // the connection breaks inside the line with the state 'done'
	breakAfterEnd                   // the connection breaks after the line with the state 'done', without the last chunk
	answerEarly                     // the worker rejects the request before it has read the body
	answerReturned                  // the worker accepts the job and returns it without starting it
	answerFailed                    // the job fails
	closeAfterResponse              // the response has 'Connection: close'
	breakAtNextRequest              // the connection breaks when the next request arrives
	closeIdle                       // the idle connection is closed some milliseconds after the response
	stallReading                    // the body is read late, so that the dispatcher must send a large one in parts
	secondResponse                  // a second response is sent some milliseconds after the first
	attemptFaultKinds               // number of values
)

// attemptsPerFault is the average number of attempts of which one has a fault.
const attemptsPerFault = 5

// jobPlan determines how a worker handles one attempt.
type jobPlan struct {
	fault   attemptFault
	reset   bool          // a connection that breaks is reset; otherwise it is closed
	runTime time.Duration // run time of the job
	delay   time.Duration // time that closeIdle, stallReading and secondResponse wait
}

// runTimes has, by class, the shortest and the longest run time. In between, the time that exceeds the shortest one is
// drawn from an exponential distribution with the given mean.
var runTimes = map[string]struct{ shortest, mean, longest time.Duration }{
	classStatusCheck: {10 * time.Millisecond, 80 * time.Millisecond, 600 * time.Millisecond},
	classRenewal:     {50 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond},
	classTransfer:    {20 * time.Millisecond, 150 * time.Millisecond, time.Second},
}

const (
	maxIdlePause = 15 * time.Millisecond
	maxReadStall = 400 * time.Millisecond
)

// drawJobPlan draws the plan of an attempt. The seed of the run, the ID and class of the request, and the number of its
// earlier attempts determine the plan.
func drawJobPlan(seed uint64, id, class string, earlierAttempts int) jobPlan {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(seed+uint64(earlierAttempts), hash.Sum64()))
	plan := jobPlan{reset: random.IntN(2) == 0, delay: time.Duration(random.Int64N(int64(maxIdlePause)))}
	times := runTimes[class]
	plan.runTime = min(times.shortest+time.Duration(random.ExpFloat64()*float64(times.mean)), times.longest)
	if random.IntN(attemptsPerFault) == 0 {
		plan.fault = 1 + attemptFault(random.IntN(int(attemptFaultKinds)-1))
	}
	if plan.fault == stallReading {
		plan.delay = time.Duration(random.Int64N(int64(maxReadStall)))
	}
	return plan
}
