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

// Environment variables of a worker process of the kill test.
const (
	killWorkerDirectory  = "KILL_WORKER" // directory of the kill test; if set, TestMain runs a worker
	killWorkerID         = "KILL_WID"
	killWorkerGuarantee  = "KILL_GUARANTEE"
	killWorkerSeed       = "KILL_SEED"
	killWorkerPauseShare = "KILL_PAUSE_SHARE"
)

// What a worker of the kill test guarantees. Each value is the label that the worker sends in
// HELLO.
const (
	guaranteeNone       = ""             // it has no label
	guaranteeFences     = "fences:1"     // it sends START, and runs a job only if the reply is +OK
	guaranteeIdempotent = "idempotent:1" // a job that runs twice has the effect of one run
)

// Files of a kill test's directory.
const (
	ledgerFile       = "ledger"   // has a line for each run of a job on a worker that is not idempotent
	resultsDirectory = "results"  // has a file for each job that an idempotent worker has run
	historyPrefix    = "history-" // has the calls of a worker; the worker's id follows the prefix
)

const (
	redialPause = 3 * time.Millisecond // before a client connects again
	maxDials    = 1000                 // maximum number of attempts to send a command until a reply arrives
)

// killWorker is a worker process of the kill test.
type killWorker struct {
	dir        string
	id         string
	guarantee  string
	pauseShare float64 // fraction of the jobs before which the worker pauses
	ledger     *os.File
	history    *os.File
}

// killSlots is the number of jobs that a worker runs at the same time.
const killSlots = 2

// runKillWorker runs a worker that is configured by environment variables. The worker records
// its runs of jobs with recordRun, and its calls in its own history file. It does not return.
func runKillWorker() {
	seed, _ := strconv.ParseUint(os.Getenv(killWorkerSeed), 10, 64)
	pauseShare, _ := strconv.ParseFloat(os.Getenv(killWorkerPauseShare), 64)
	worker := &killWorker{
		dir:        os.Getenv(killWorkerDirectory),
		id:         os.Getenv(killWorkerID),
		guarantee:  os.Getenv(killWorkerGuarantee),
		pauseShare: pauseShare,
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

// record appends a call to the worker's history file.
func (w *killWorker) record(call historyCall) {
	text, _ := json.Marshal(call)
	w.history.Write(append(text, '\n'))
}

// killSlot is a slot of a worker, which runs one job at a time.
type killSlot struct {
	*killWorker
	client int // number that identifies the slot in the history
	random *rand.Rand
	conn   *faktoryClient // nil if not connected
}

// run leases and runs jobs until the process is killed.
func (s *killSlot) run() {
	for {
		s.runJob()
	}
}

// leasedJob identifies a leased job and its lease.
type leasedJob struct {
	jid   string
	fence uint64
}

// runJob leases a job, runs it and acknowledges it.
func (s *killSlot) runJob() {
	job, leased := s.lease()
	if !leased {
		return
	}
	arguments := fmt.Sprintf(`{"jid":%q,"fence":%d}`, job.jid, job.fence)
	if s.random.Float64() < s.pauseShare { // about half of these pauses are longer than the lease
		time.Sleep(time.Duration(s.random.IntN(600)) * time.Millisecond)
	}
	if s.guarantee == guaranteeFences {
		reply, answered := s.call(callStart, job, "START "+arguments)
		if !answered || reply != "+OK" {
			return
		}
	}
	s.recordRun(job)
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Microsecond)
	s.call(callAck, job, "ACK "+arguments)
}

// lease fetches a job, and records the lease if there is one.
func (s *killSlot) lease() (leased leasedJob, found bool) {
	began := time.Now().UnixNano()
	reply, answered := s.call(callLease, leasedJob{}, "FETCH renewal")
	var job struct {
		Jid    string
		Custom struct{ Fence uint64 }
	}
	if !answered || json.Unmarshal([]byte(reply), &job) != nil || job.Jid == "" {
		return leasedJob{}, false
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
	return leasedJob{job.Jid, job.Custom.Fence}, true
}

// recordRun writes to the ledger that a job ran or, for a worker whose jobs are idempotent,
// creates the job's result file.
func (s *killSlot) recordRun(job leasedJob) {
	if s.guarantee != guaranteeIdempotent {
		fmt.Fprintf(s.ledger, "%s %d %s\n", job.jid, job.fence, s.id)
		return
	}
	file, err := os.OpenFile(filepath.Join(s.dir, resultsDirectory, job.jid), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err == nil {
		file.Close() // the existence of the file says that the job ran
	}
}

// call sends a command until a reply arrives, also across restarts of the dispatcher. A FETCH
// is not repeated after an error. Each call except FETCH is recorded when it begins, and again
// when its reply has arrived.
func (s *killSlot) call(kind callKind, job leasedJob, command string) (reply string, answered bool) {
	isLease := kind == callLease
	for range maxDials {
		if !s.connect() {
			time.Sleep(redialPause)
			continue
		}
		call := historyCall{Client: s.client, Kind: kind, Jid: job.jid, Fence: job.fence, Began: time.Now().UnixNano()}
		if !isLease {
			s.record(call) // if the worker is killed, no end is recorded
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

// connect connects the slot to the dispatcher if it is not connected. It returns false if that
// fails.
func (s *killSlot) connect() bool {
	if s.conn != nil {
		return true
	}
	var labels []string
	if s.guarantee != guaranteeNone {
		labels = append(labels, s.guarantee)
	}
	conn, err := dialFaktory(s.dir, faktoryHello(s.id, labels...))
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}
