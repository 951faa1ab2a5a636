package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Environment variables of a worker process.
const (
	killWorkerDirectory = "KILL_WORKER" // where this is set, TestMain runs a worker
	killWorkerID        = "KILL_WID"
	killWorkerPromise   = "KILL_PROMISE"
	killWorkerSeed      = "KILL_SEED"
	killWorkerSlow      = "KILL_SLOW"
)

// What a worker of the kill test guarantees, as its label in HELLO has it.
const (
	promiseNothing    = ""             // it has no label
	promiseFences     = "fences:1"     // it reports the start, and runs a job only if the start is granted
	promiseIdempotent = "idempotent:1" // a job that runs twice has the effect of one run
)

// Files of a kill test's directory.
const (
	ledgerFile       = "ledger"   // a line for each run of a job
	resultsDirectory = "results"  // a file for each job that an idempotent worker ran
	historyPrefix    = "history-" // the calls of a worker; the worker's id follows
)

const (
	redialPause = 3 * time.Millisecond // before a client dials again
	maxDials    = 1000                 // and commands, until an answer
)

// killWorker is a worker process of the kill test.
type killWorker struct {
	dir     string
	id      string
	promise string
	slow    float64 // share of the jobs before which the worker pauses
	ledger  *os.File
	history *os.File
}

// killSlots is how many jobs a worker runs at a time.
const killSlots = 2

// runKillWorker runs the worker that the environment configures. It writes what it ran
// to the ledger, and its calls to a history of its own. It does not return.
func runKillWorker() {
	seed, _ := strconv.ParseUint(os.Getenv(killWorkerSeed), 10, 64)
	slow, _ := strconv.ParseFloat(os.Getenv(killWorkerSlow), 64)
	worker := &killWorker{
		dir:     os.Getenv(killWorkerDirectory),
		id:      os.Getenv(killWorkerID),
		promise: os.Getenv(killWorkerPromise),
		slow:    slow,
	}
	worker.ledger = worker.openForAppend(ledgerFile)
	worker.history = worker.openForAppend(historyPrefix + worker.id)
	for number := range killSlots {
		slot := &killSlot{
			killWorker: worker,
			client:     int(seed)*killSlots + number,
			random:     rand.New(rand.NewPCG(seed, uint64(number))),
		}
		go slot.run()
	}
	select {}
}

func (w *killWorker) openForAppend(name string) *os.File {
	file, err := os.OpenFile(filepath.Join(w.dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	return file
}

// record appends a call to the history.
func (w *killWorker) record(call historyCall) {
	text, _ := json.Marshal(call)
	w.history.Write(append(text, '\n'))
}

// killSlot runs one job at a time.
type killSlot struct {
	*killWorker
	client int // its number in the history
	random *rand.Rand
	conn   *faktoryClient // nil: not connected
}

// run leases and runs jobs for ever.
func (s *killSlot) run() {
	for {
		s.runJob()
	}
}

// killLeased is a leased job.
type killLeased struct {
	jid   string
	fence uint64
}

// runJob leases a job, runs it and reports its end.
func (s *killSlot) runJob() {
	job, leased := s.lease()
	if !leased {
		return
	}
	arguments := fmt.Sprintf(`{"jid":%q,"fence":%d}`, job.jid, job.fence)
	if s.random.Float64() < s.slow { // half of these longer than the lease
		time.Sleep(time.Duration(s.random.IntN(600)) * time.Millisecond)
	}
	if s.promise == promiseFences {
		reply, answered := s.call(callStart, job, "START "+arguments)
		if !answered || reply != "+OK" {
			return
		}
	}
	s.recordRun(job)
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Microsecond)
	s.call(callAck, job, "ACK "+arguments)
}

// lease fetches a job.
func (s *killSlot) lease() (leased killLeased, found bool) {
	began := time.Now().UnixNano()
	reply, answered := s.call(callLease, killLeased{}, "FETCH renewal")
	var job struct {
		Jid    string
		Custom struct{ Fence uint64 }
	}
	if !answered || json.Unmarshal([]byte(reply), &job) != nil || job.Jid == "" {
		return killLeased{}, false
	}
	s.record(historyCall{
		Client: s.client,
		Kind:   callLease,
		Jid:    job.Jid,
		Fence:  job.Custom.Fence,
		Began:  began,
		Ended:  time.Now().UnixNano(),
		OK:     true,
	})
	return killLeased{job.Jid, job.Custom.Fence}, true
}

// recordRun writes that a job ran.
func (s *killSlot) recordRun(job killLeased) {
	if s.promise != promiseIdempotent {
		fmt.Fprintf(s.ledger, "%s %d %s\n", job.jid, job.fence, s.id)
		return
	}
	file, err := os.OpenFile(filepath.Join(s.dir, resultsDirectory, job.jid), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err == nil {
		file.Close() // the file says that it ran
	}
}

// call repeats a command until it is answered, over restarts of the dispatcher; a lease
// is requested once on a connection. All calls but leases are recorded, as they begin
// and as they end.
func (s *killSlot) call(kind callKind, job killLeased, command string) (reply string, answered bool) {
	isLease := kind == callLease
	for range maxDials {
		if !s.connect() {
			time.Sleep(redialPause)
			continue
		}
		call := historyCall{Client: s.client, Kind: kind, Jid: job.jid, Fence: job.fence, Began: time.Now().UnixNano()}
		if !isLease {
			s.record(call) // a kill leaves it without an end
		}
		reply, err := s.conn.do(command)
		if err != nil {
			s.conn.conn.Close()
			s.conn = nil
			if isLease {
				return "", false
			}
			continue
		}
		call.Ended = time.Now().UnixNano()
		call.OK = reply == "+OK"
		if !isLease {
			s.record(call)
		}
		return reply, true
	}
	return "", false
}

// connect connects to the dispatcher, unless it is connected already.
func (s *killSlot) connect() bool {
	if s.conn != nil {
		return true
	}
	var labels []string
	if s.promise != promiseNothing {
		labels = append(labels, s.promise)
	}
	conn, err := dialFaktory(s.dir, faktoryHello(s.id, labels...))
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}
