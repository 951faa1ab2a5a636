//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = playJobsForDeduplicatingWorkers }

const (
	shortLease      = 4 * time.Second
	heldJobs        = 6
	plainWorkers    = 4
	laterJobs       = 30
	laterInterval   = 200 * time.Millisecond
	idleLimit       = 10 * time.Second // no accepted job waits while nothing ran for so long
	plainRunTime    = 200 * time.Millisecond
	watchLaterJobs  = 60 * time.Second
	afterTheLease   = 2 * time.Second
	workersAreReady = 300 * time.Millisecond
)

// waitingRun is the state of the case.
type waitingRun struct {
	*testCase
	address string

	mutex sync.Mutex
	runs  map[string]int // how often workers that promise nothing have run a jid
	last  time.Time      // when a job ran last
}

// playJobsForDeduplicatingWorkers kills a worker that deduplicates with jobs, which then wait for another such worker, and
// checks that jobs that are pushed later run at the idle workers that promise nothing.
func playJobsForDeduplicatingWorkers(c *testCase) {
	run := &waitingRun{testCase: c, address: c.freeAddress(), runs: map[string]int{}}
	options := c.writeFile("faktory.toml", fmt.Sprintf(
		"listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = %d\n", run.address, c.dir+"/jobs.db", shortLease/time.Second))
	c.startDaemon("dispatcher", smallConfig("n1"), " --faktory "+options)
	var producer *faktoryConn
	c.waitUntil("the dispatcher listens", 20*time.Second, func() (connected bool) {
		var err error
		producer, err = dialFaktory(run.address, "")
		return err == nil
	})
	run.holdJobs(producer)
	for number := range plainWorkers {
		go run.workPlainly(fmt.Sprintf("plain-%d", number))
	}
	time.Sleep(shortLease + afterTheLease)
	run.mutex.Lock()
	run.last = time.Now()
	run.mutex.Unlock()
	for i := range laterJobs {
		run.push(producer, fmt.Sprintf("later-%04d", i))
		time.Sleep(laterInterval)
	}
	run.watch()
	info, _ := producer.do("INFO", 5*time.Second)
	c.record("INFO: %s", info)
}

// watch waits until the later jobs have run, or some of them wait while nothing ran for idleLimit.
func (r *waitingRun) watch() {
	end := time.Now().Add(watchLaterJobs)
	for time.Now().Before(end) && r.waiting() > 0 {
		time.Sleep(100 * time.Millisecond)
		r.mutex.Lock()
		idle := time.Since(r.last)
		r.mutex.Unlock()
		if idle > idleLimit {
			r.violated("%d of %d accepted jobs wait, %d workers ask for jobs, and nothing ran for %.1f s",
				r.waiting(), laterJobs, plainWorkers, idle.Seconds())
			return
		}
	}
	r.record("%d of %d later jobs wait", r.waiting(), laterJobs)
}

// waiting counts the later jobs that have not run.
func (r *waitingRun) waiting() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ran := 0
	for jid := range r.runs {
		if strings.HasPrefix(jid, "later-") {
			ran++
		}
	}
	return laterJobs - ran
}

// push pushes a job, which must be accepted.
func (r *waitingRun) push(producer *faktoryConn, jid string) {
	reply, err := producer.do(fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":["member 7"]}`, jid), 5*time.Second)
	r.record("producer: PUSH %s is answered %s", jid, reply)
	if err != nil || reply != "OK" {
		r.cannotRun("PUSH %s: %s, %v", jid, reply, err)
	}
}

// holdJobs pushes jobs that a worker that deduplicates fetches. With the disruption the worker is killed with them,
// otherwise it reports them as done and ends.
func (r *waitingRun) holdJobs(producer *faktoryConn) {
	var held sync.WaitGroup
	var connections []*faktoryConn
	for range heldJobs {
		conn, err := dialFaktory(r.address, "till-1", "idempotent:1")
		if err != nil {
			r.cannotRun("%v", err)
		}
		connections = append(connections, conn)
		held.Go(func() { r.holdJob(conn) })
	}
	time.Sleep(workersAreReady)
	for i := range heldJobs {
		r.push(producer, fmt.Sprintf("early-%04d", i))
	}
	held.Wait()
	for _, conn := range connections {
		conn.conn.Close()
	}
	r.record("till-1: has ended, killed with its jobs: %v", r.trouble)
}

// holdJob fetches one job and, without the disruption, reports it as done.
func (r *waitingRun) holdJob(conn *faktoryConn) {
	job, raw := r.fetch(conn)
	r.record("till-1: has %s", raw)
	if !r.trouble {
		reply, err := conn.do(fmt.Sprintf(`ACK {"jid":%q,"fence":%d}`, job.Jid, job.Custom.Fence), 5*time.Second)
		r.record("till-1: ACK %s is answered %s %v", job.Jid, reply, err)
	}
}

// fetchedJob is what the workers read of a job.
type fetchedJob struct {
	Jid    string
	Custom struct{ Fence uint64 }
}

// fetch sends FETCH until there is a job. If the connection ends, the case could not run.
func (r *waitingRun) fetch(conn *faktoryConn) (job fetchedJob, raw string) {
	for raw == "" {
		var err error
		raw, err = conn.do("FETCH renewal", 5*time.Second)
		if err != nil || strings.HasPrefix(raw, "ERR") {
			r.cannotRun("FETCH: %s, %v", raw, err)
		}
	}
	json.Unmarshal([]byte(raw), &job)
	return job, raw
}

// workPlainly runs jobs as a worker that promises nothing.
func (r *waitingRun) workPlainly(wid string) {
	conn, err := dialFaktory(r.address, wid)
	if err != nil {
		r.cannotRun("%v", err)
	}
	for {
		job, _ := r.fetch(conn)
		r.mutex.Lock()
		r.runs[job.Jid]++
		r.last = time.Now()
		r.mutex.Unlock()
		r.record("%s: runs %s", wid, job.Jid)
		time.Sleep(plainRunTime)
		if _, err := conn.do(fmt.Sprintf(`ACK {"jid":%q,"fence":%d}`, job.Jid, job.Custom.Fence), 5*time.Second); err != nil {
			r.cannotRun("ACK: %v", err)
		}
	}
}
