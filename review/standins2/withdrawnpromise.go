//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = playWithdrawnPromise }

const (
	withdrawnLease   = 4 * time.Second
	withdrawnJobs    = 2
	otherWorkers     = 2
	updateGap        = 500 * time.Millisecond // between the end of the worker's process and the start of its next version
	afterTheLeases   = 6 * time.Second        // for which the jobs are watched once their leases have expired
	commandTimeout   = 5 * time.Second
	fetchesAreParked = 200 * time.Millisecond
)

// promiseRun is the state of the case.
type promiseRun struct {
	*testCase
	address string
	mutex   sync.Mutex
	runs    map[string][]string // by jid: the workers that have begun it
}

// playWithdrawnPromise restarts a worker as a version that promises nothing, kills it with jobs, and checks that the jobs,
// which may have run, do not run again.
func playWithdrawnPromise(c *testCase) {
	run := &promiseRun{testCase: c, address: c.freeAddress(), runs: map[string][]string{}}
	options := c.writeFile("faktory.toml", fmt.Sprintf(
		"listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = %d\n", run.address, c.dir+"/jobs.db", withdrawnLease/time.Second))
	c.startDaemon("dispatcher", smallConfig("n1"), " --faktory "+options)
	var producer *faktoryConn
	c.waitUntil("the dispatcher listens", 20*time.Second, func() bool {
		var err error
		producer, err = dialFaktory(run.address, "")
		return err == nil
	})
	if c.trouble { // the earlier version of the worker, which asks before it starts a job
		earlier := run.connect("till-1", "fences:1")
		earlier.do("FETCH renewal", commandTimeout)
		earlier.do("END", commandTimeout)
		earlier.conn.Close()
		c.record("till-1, version with fences:1: has ended")
		time.Sleep(updateGap)
	}
	var held sync.WaitGroup
	var connections []*faktoryConn
	for range withdrawnJobs {
		conn := run.connect("till-1")
		connections = append(connections, conn)
		held.Go(func() { run.begin("till-1", conn) })
	}
	time.Sleep(fetchesAreParked)
	for i := range withdrawnJobs {
		reply, err := producer.do(fmt.Sprintf(`PUSH {"jid":"renewal-%04d","queue":"renewal","jobtype":"renewal","args":["member 7"]}`, i), commandTimeout)
		c.record("producer: PUSH renewal-%04d is answered %s %v", i, reply, err)
	}
	held.Wait()
	for _, conn := range connections {
		conn.conn.Close()
	}
	c.record("till-1, version without a label: is killed with its jobs")
	for number := range otherWorkers {
		conn := run.connect(fmt.Sprintf("till-2-%d", number))
		go run.begin(fmt.Sprintf("till-2-%d", number), conn)
	}
	time.Sleep(withdrawnLease + afterTheLeases)
	info, _ := producer.do("INFO", commandTimeout)
	c.record("INFO: %s", info)
	run.mutex.Lock()
	defer run.mutex.Unlock()
	for jid, workers := range run.runs {
		if len(workers) > 1 {
			c.violated("%s ran %d times, at %s", jid, len(workers), strings.Join(workers, ", "))
		}
	}
}

func (r *promiseRun) connect(wid string, labels ...string) *faktoryConn {
	conn, err := dialFaktory(r.address, wid, labels...)
	if err != nil {
		r.cannotRun("%v", err)
	}
	r.record("%s: connects, labels %v", wid, labels)
	return conn
}

// begin fetches one job and begins to run it.
func (r *promiseRun) begin(wid string, conn *faktoryConn) {
	for {
		raw, err := conn.do("FETCH renewal", commandTimeout)
		if err != nil {
			return
		}
		if raw == "" || strings.HasPrefix(raw, "ERR") {
			continue
		}
		var job struct{ Jid string }
		json.Unmarshal([]byte(raw), &job)
		r.mutex.Lock()
		r.runs[job.Jid] = append(r.runs[job.Jid], wid)
		r.mutex.Unlock()
		r.record("%s: runs %s", wid, raw)
		return
	}
}
