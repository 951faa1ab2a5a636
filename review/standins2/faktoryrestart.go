//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["7"] = playFaktoryRestart }

const (
	restartAt          = 4 * time.Second         // from the first push until SIGTERM
	killAfter          = 3700 * time.Millisecond // the earliest SIGKILL: the longest deadline, taken as 3 s, and 0.7 s
	connectsAfterTerm  = 400 * time.Millisecond  // new connections keep coming for so long after SIGTERM
	lostAfterTerm      = 700 * time.Millisecond  // a request that came later and is unanswered at the kill is lost
	arrivalMargin      = 50 * time.Millisecond   // time limits on sockets are so much longer
	producerCount      = 16
	workerCount        = 16
	minRunTime         = 300 * time.Millisecond
	runTimeSpread      = 400 * time.Millisecond
	producerWaitsAtAll = 9 * time.Second
)

// pushedJob is what a producer has seen of one job.
type pushedJob struct {
	jid    string
	sentAt time.Time
	reply  string // empty if there was none
	endErr error  // how the wait for the reply ended without one
}

// faktoryRestart is the state of the case.
type faktoryRestart struct {
	*testCase
	address string
	stop    atomic.Bool

	mutex        sync.Mutex
	terminatedAt time.Time // zero before SIGTERM
	jobs         []*pushedJob
	fetched      map[string]int // how often workers got a jid
}

// playFaktoryRestart restarts a dispatcher by plan while producers push renewals to a direct queue, one after the other,
// and checks that no renewal that was read is left without an answer.
func playFaktoryRestart(c *testCase) {
	run := &faktoryRestart{testCase: c, address: c.freeAddress(), fetched: map[string]int{}}
	options := c.writeFile("faktory.toml", fmt.Sprintf("listen = %q\n", run.address))
	daemon := c.startDaemon("dispatcher", smallConfig("n1"), " --faktory "+options)
	c.waitUntil("the dispatcher listens", 20*time.Second, func() bool {
		conn, err := dialFaktory(run.address, "")
		if err == nil {
			conn.conn.Close()
		}
		return err == nil
	})
	var producers sync.WaitGroup
	for i := range workerCount {
		go run.work(fmt.Sprintf("worker-%d", i))
	}
	time.Sleep(500 * time.Millisecond)
	for i := range producerCount {
		producers.Go(func() { run.produce(i) })
	}
	time.Sleep(restartAt)
	if c.trouble {
		c.signal(daemon, syscall.SIGTERM)
		run.mutex.Lock()
		run.terminatedAt = time.Now()
		run.mutex.Unlock()
		if daemon.hasEnded(killAfter) {
			c.record("platform: the dispatcher has ended by itself")
		} else {
			c.signal(daemon, syscall.SIGKILL)
		}
	} else {
		time.Sleep(killAfter)
	}
	run.stop.Store(true)
	producers.Wait()
	lost := run.check()
	if len(lost) > 0 {
		run.pushAgain(options, lost)
	}
}

// mayConnect reports whether a client still opens connections: after SIGTERM only for a short time.
func (r *faktoryRestart) mayConnect() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.terminatedAt.IsZero() || time.Since(r.terminatedAt) < connectsAfterTerm
}

// produce pushes renewals one after the other on one connection, for as long as that stays open.
func (r *faktoryRestart) produce(number int) {
	for sequence := 0; !r.stop.Load() && r.mayConnect(); {
		conn, err := dialFaktory(r.address, "")
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for !r.stop.Load() {
			sequence++
			if !r.push(conn, fmt.Sprintf("renewal-%02d-%04d", number, sequence)) {
				break
			}
		}
		conn.conn.Close()
	}
}

// push pushes one renewal and waits for its reply. It returns false if the connection has ended.
func (r *faktoryRestart) push(conn *faktoryConn, jid string) bool {
	job := &pushedJob{jid: jid, sentAt: time.Now()}
	r.mutex.Lock()
	r.jobs = append(r.jobs, job)
	r.mutex.Unlock()
	r.record("producer: PUSH %s", jid)
	reply, err := conn.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":["member 7"]}`, jid), producerWaitsAtAll)
	r.mutex.Lock()
	job.reply = reply
	job.endErr = err
	r.mutex.Unlock()
	if err != nil {
		r.record("producer: %s has no reply: %v", jid, err)
		return false
	}
	r.record("producer: %s is answered %s", jid, reply)
	return true
}

// work fetches renewals and runs them.
func (r *faktoryRestart) work(wid string) {
	for {
		r.workOnConnection(wid)
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *faktoryRestart) workOnConnection(wid string) {
	conn, err := dialFaktory(r.address, wid)
	if err != nil {
		return
	}
	defer conn.conn.Close()
	for {
		raw, err := conn.do("FETCH renewal", 5*time.Second)
		if err != nil {
			return
		}
		if raw == "" || strings.HasPrefix(raw, "ERR") {
			continue
		}
		var job struct {
			Jid string `json:"jid"`
		}
		json.Unmarshal([]byte(raw), &job)
		r.mutex.Lock()
		r.fetched[job.Jid]++
		r.mutex.Unlock()
		r.record("%s: runs %s", wid, job.Jid)
		time.Sleep(runTime(job.Jid))
		if _, err := conn.do(fmt.Sprintf(`ACK {"jid":%q}`, job.Jid), 5*time.Second); err != nil {
			return
		}
		r.record("%s: has run %s", wid, job.Jid)
	}
}

// runTime returns how long a worker runs a renewal, which depends on its jid.
func runTime(jid string) time.Duration {
	digest := fnv.New32a()
	io.WriteString(digest, jid)
	return minRunTime + time.Duration(digest.Sum32()%1000)*runTimeSpread/1000
}

// check counts the renewals that the dispatcher had read, since a worker got them, and never answered. One that came
// within lostAfterTerm of SIGTERM and was unanswered at SIGKILL is excused. check returns those that are not excused.
func (r *faktoryRestart) check() (lost []*pushedJob) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answered := 0
	for _, job := range r.jobs {
		if job.endErr == nil {
			answered++
			continue
		}
		after := job.sentAt.Sub(r.terminatedAt)
		excused := !r.terminatedAt.IsZero() && after <= lostAfterTerm+arrivalMargin
		switch {
		case r.fetched[job.jid] == 0:
			r.record("%s, unanswered, came to no worker: it counts as not read", job.jid)
		case excused:
			r.record("%s, unanswered, is excused: it came %.3f s after SIGTERM", job.jid, after.Seconds())
		default:
			r.violated("%s came %.3f s after SIGTERM, was run %d times and never answered", job.jid, after.Seconds(), r.fetched[job.jid])
			lost = append(lost, job)
		}
	}
	r.record("%d renewals pushed, %d answered", len(r.jobs), answered)
	if answered == 0 {
		r.cannotRun("no renewal was answered")
	}
	return lost
}

// pushAgain starts the dispatcher again and pushes the lost renewals again under their jids, as producers do after a lost
// reply. It only records what follows: the jids were lost with the process.
func (r *faktoryRestart) pushAgain(options string, lost []*pushedJob) {
	r.startDaemon("dispatcher-2", smallConfig("n1"), " --faktory "+options)
	var conn *faktoryConn
	r.waitUntil("the dispatcher listens again", 20*time.Second, func() bool {
		var err error
		conn, err = dialFaktory(r.address, "")
		return err == nil
	})
	time.Sleep(time.Second) // for workers to connect
	for _, job := range lost {
		reply, err := conn.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":["member 7"]}`, job.jid), producerWaitsAtAll)
		r.mutex.Lock()
		r.record("producer: PUSH %s again is answered %s %v; it has run %d times", job.jid, reply, err, r.fetched[job.jid])
		r.mutex.Unlock()
	}
}
