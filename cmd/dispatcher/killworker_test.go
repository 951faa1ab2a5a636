package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// What a worker of the kill test guarantees, as its label in HELLO has it. A worker
// without a label guarantees nothing.
const (
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
	askAttempts = 1000
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

// runKillWorker runs a worker with two slots. It writes what it ran to the ledger, and
// its calls to a history of its own. It does not return.
func runKillWorker(dir, id, promise string, seed uint64, slow float64) {
	w := &killWorker{dir: dir, id: id, promise: promise, slow: slow}
	w.ledger = w.openForAppend(ledgerFile)
	w.history = w.openForAppend(historyPrefix + id)
	for number := range 2 {
		slot := &killSlot{
			killWorker: w,
			client:     int(seed)*2 + number,
			random:     rand.New(rand.NewPCG(seed, uint64(number))),
		}
		go slot.run()
	}
	select {}
}

func (w *killWorker) openForAppend(name string) *os.File {
	f, err := os.OpenFile(filepath.Join(w.dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	return f
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

// runJob leases a job, runs it and reports its end.
func (s *killSlot) runJob() {
	jid, fence, leased := s.lease()
	if !leased {
		return
	}
	arguments := fmt.Sprintf(`{"jid":%q,"fence":%d}`, jid, fence)
	if s.random.Float64() < s.slow { // half of these longer than the lease
		time.Sleep(time.Duration(s.random.IntN(600)) * time.Millisecond)
	}
	if s.promise == promiseFences {
		got, answered := s.ask("start", jid, fence, "START "+arguments)
		if !answered || got != "+OK" {
			return
		}
	}
	s.recordRun(jid, fence)
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Microsecond)
	s.ask("ack", jid, fence, "ACK "+arguments)
}

// lease fetches a job.
func (s *killSlot) lease() (jid string, fence uint64, leased bool) {
	began := time.Now().UnixNano()
	got, answered := s.ask("lease", "", 0, "FETCH renewal")
	var job struct {
		Jid    string
		Custom struct{ Fence uint64 }
	}
	if !answered || json.Unmarshal([]byte(got), &job) != nil || job.Jid == "" {
		return "", 0, false
	}
	s.record(historyCall{s.client, "lease", job.Jid, job.Custom.Fence, began, time.Now().UnixNano(), true})
	return job.Jid, job.Custom.Fence, true
}

// recordRun writes that a job ran.
func (s *killSlot) recordRun(jid string, fence uint64) {
	if s.promise != promiseIdempotent {
		fmt.Fprintf(s.ledger, "%s %d %s\n", jid, fence, s.id)
		return
	}
	f, err := os.OpenFile(filepath.Join(s.dir, resultsDirectory, jid), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err == nil {
		f.Close() // the file says that it ran
	}
}

// ask repeats a command until it is answered, over restarts of the dispatcher; a lease
// is asked for once on a connection. All calls but leases are recorded, as they begin
// and as they end.
func (s *killSlot) ask(kind, jid string, fence uint64, command string) (got string, answered bool) {
	for range askAttempts {
		if !s.connect() {
			time.Sleep(redialPause)
			continue
		}
		call := historyCall{Client: s.client, Kind: kind, Jid: jid, Fence: fence, Began: time.Now().UnixNano()}
		if kind != "lease" {
			s.record(call) // a kill leaves it without an end
		}
		got, err := s.conn.do(command)
		if err != nil {
			s.conn.conn.Close()
			s.conn = nil
			if kind == "lease" {
				return "", false
			}
			continue
		}
		call.Ended = time.Now().UnixNano()
		call.OK = got == "+OK"
		if kind != "lease" {
			s.record(call)
		}
		return got, true
	}
	return "", false
}

// connect connects to the dispatcher, unless it is connected already.
func (s *killSlot) connect() bool {
	if s.conn != nil {
		return true
	}
	labels := []string{"born_ms:1"}
	if s.promise != "" {
		labels = append(labels, s.promise)
	}
	conn, err := dialFaktory(s.dir, map[string]any{"wid": s.id, "labels": labels})
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}
