package durable

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// These tests check the form of the store file, byte for byte: files of earlier builds must be read, and a file that is
// written now must be one that they read. The golden files hold the stored names only.

// The store file of an earlier build, and Unix times of the script.
const (
	goldenStore = "testdata/jobs-schema-1.db.gz"
	goldenStart = 1_700_000_000 * time.Second // Unix time at which the sequence begins, in the past by any clock
	farFuture   = 7_258_118_400 * time.Second // the year 2200
)

// scriptedService is a service in virtual time.
type scriptedService struct {
	*Service
	t   *testing.T
	now time.Duration
}

func openScripted(t *testing.T, path string) *scriptedService {
	t.Helper()
	s := &scriptedService{t: t, now: goldenStart}
	loop := eventloop.NewVirtual(func() time.Duration { return s.now })
	config := Config{Path: path, Jobs: jobs.Config{LeaseDuration: time.Minute, RecoveryGrace: time.Minute, MaxAttempts: 3, InitialBackoff: time.Second, Retention: 24 * time.Hour, DeadRetention: 180 * 24 * time.Hour}}
	service, err := Open(loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	service.OnRunnable = func(jobs.Job) {}
	s.Service = service
	service.Start()
	return s
}

// wait starts an operation, turns the loop until it is done and returns its error.
func (s *scriptedService) wait(what string, start func(done func(error))) (result error) {
	s.t.Helper()
	finished := false
	start(func(err error) {
		finished = true
		result = err
	})
	for end := time.Now().Add(patience); !finished; time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			s.t.Fatalf("nothing came: %s", what)
		}
		s.loop.RunOnce()
	}
	return result
}

// must waits for an operation that succeeds.
func (s *scriptedService) must(what string, start func(done func(error))) {
	s.t.Helper()
	if err := s.wait(what, start); err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
}

func (s *scriptedService) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *scriptedService) push(j jobs.Job, at time.Duration) {
	s.t.Helper()
	s.now += time.Millisecond
	s.must("push "+j.ID, func(done func(error)) { s.Push(j, at, done) })
}

// lease pushes a job and leases it to a worker.
func (s *scriptedService) lease(j jobs.Job, worker string, guarantee jobs.Guarantee) (fence uint64) {
	s.t.Helper()
	s.push(j, 0)
	s.must("lease "+j.ID, func(done func(error)) {
		if !s.Assign(j.ID, worker, guarantee, func(leased jobs.Job, err error) { fence = leased.Fence; done(err) }) {
			s.t.Fatalf("%s cannot be leased", j.ID)
		}
	})
	return fence
}

// start pushes a job, leases it and grants its start.
func (s *scriptedService) start(j jobs.Job, worker string, guarantee jobs.Guarantee) (fence uint64) {
	s.t.Helper()
	fence = s.lease(j, worker, guarantee)
	s.must("start "+j.ID, func(done func(error)) { s.StartJob(j.ID, fence, done) })
	return fence
}

func (s *scriptedService) fail(id string, fence uint64, started bool) {
	s.t.Helper()
	s.must("fail "+id, func(done func(error)) { s.Fail(id, fence, "till jammed", started, done) })
}

// renewal is a non-idempotent job, statusCheck an idempotent one.
func renewal(id string) jobs.Job {
	return jobs.Job{ID: id, Class: "renewal", NonIdempotent: true, Payload: []byte(`{"jid":"` + id + `","args":["member 7"]}`), PayloadHash: 0x0123456789abcdef}
}

func statusCheck(id string) jobs.Job {
	return jobs.Job{ID: id, Class: "status-check", Payload: []byte("no JSON <&> \xff"), PayloadHash: 42}
}

// runScript makes a fixed sequence of changes, after which the store holds jobs in every state that is stored, and each
// field is set in one of them.
func runScript(s *scriptedService) {
	s.t.Helper()
	s.expireLeases()
	s.push(statusCheck("accepted-1"), 0)
	limited := statusCheck("scheduled-1")
	limited.MaxAttempts = 9
	limited.LeaseDuration = 90 * time.Second
	limited.DiscardWhenExhausted = true
	s.push(limited, farFuture)
	s.lease(renewal("leased-1"), "w-fences", jobs.HonorsFences)
	s.lease(statusCheck("leased-2"), "w-nothing", jobs.NoGuarantee)
	s.start(renewal("started-1"), "w-tills", jobs.Deduplicates)
	s.fail("waiting-1", s.start(statusCheck("waiting-1"), "w-nothing", jobs.NoGuarantee), true)
	s.fail("ready-never-started", s.lease(renewal("ready-never-started"), "w-fences", jobs.HonorsFences), false)
	fence := s.start(renewal("done-1"), "w-fences", jobs.HonorsFences)
	s.must("ack", func(done func(error)) { s.Ack("done-1", fence, []byte(`{"receipt":17}`), done) })
	s.fail("dead-1", s.start(renewal("dead-1"), "w-fences", jobs.HonorsFences), true)
	discarded := statusCheck("discarded-1")
	discarded.MaxAttempts = 1
	discarded.DiscardWhenExhausted = true
	s.fail("discarded-1", s.start(discarded, "w-nothing", jobs.NoGuarantee), true)
	s.operatorRequests()
	s.pushRequest()
	s.must("pause", func(done func(error)) { s.storeRecord(pausedRecord, []string{"renewal", "status-check"}, done) })
	s.must("sync", s.AfterSync)
}

// expireLeases lets leases under each guarantee expire.
func (s *scriptedService) expireLeases() {
	s.t.Helper()
	for _, id := range []string{"doubt-1", "settled-ran", "settled-not-ran"} {
		s.lease(renewal(id), "w-nothing", jobs.NoGuarantee)
	}
	s.start(renewal("doubt-started"), "w-fences", jobs.HonorsFences)
	s.lease(renewal("freed-by-fences"), "w-fences", jobs.HonorsFences)
	s.lease(renewal("freed-by-tills"), "w-tills", jobs.Deduplicates)
	s.lease(statusCheck("lapsed-1"), "w-nothing", jobs.NoGuarantee)
	s.now += 61 * time.Second
	s.loop.RunOnce()
	s.must("the expiries", s.AfterSync)
}

// operatorRequests resolves and moves jobs.
func (s *scriptedService) operatorRequests() {
	s.t.Helper()
	s.noError(s.Resolve("settled-ran", true, "the till shows it"))
	s.now += time.Millisecond
	s.noError(s.Resolve("settled-not-ran", false, "the till does not show it"))
	s.push(statusCheck("moved-discard"), 0)
	s.noError(s.Move("moved-discard", jobs.Discard, "not wanted", true))
	s.push(statusCheck("moved-kill"), farFuture)
	s.noError(s.Move("moved-kill", jobs.Kill, "for later", false))
	s.fail("moved-requeue", s.start(renewal("moved-requeue"), "w-fences", jobs.HonorsFences), true)
	s.now += time.Millisecond
	s.noError(s.Move("moved-requeue", jobs.Requeue, "the till is mended", true))
}

// pushRequest pushes a job under an idempotency key.
func (s *scriptedService) pushRequest() {
	s.t.Helper()
	r := Request{Target: "/renewal/m?x=y", Key: "m", IdempotencyKey: "key-1", Body: []byte("body \x00"), Slots: 1.5, Work: 20 * time.Millisecond}
	s.push(r.Job("key-1", "renewal", true), 0)
}

// dump describes each record of a store file: its bucket, its key, and its value with what comes before the JSON in
// hexadecimal.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out bytes.Buffer
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				head := len(value)
				if string(bucket) == "jobs" {
					head = 9 // the schema and the checksum
				}
				_, err := fmt.Fprintf(&out, "%s %q %x %s\n", bucket, key, value[:head], value[head:])
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// A fixed sequence of changes writes exactly the records that it has always written.
func TestGoldenWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s := openScripted(t, path)
	runScript(s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "records.txt", string(dump(t, path)))
}

// describe lists all fields of a job under names of this test's own.
func describe(j jobs.Job) string {
	return fmt.Sprintf("%s: class %q, not twice %v, payload %q, sum %d, result %q, state %q, fence %d, worker %q, promise %d, for tills only %v, "+
		"due %d, attempts %d, at most %d, lease %d, dropped %v, why %q, version %d, sequence %d",
		j.ID, j.Class, j.NonIdempotent, j.Payload, j.PayloadHash, j.Result, j.State, j.Fence, j.Worker, j.WorkerGuarantee, j.RequiresDeduplication,
		j.DueAt, j.Attempts, j.MaxAttempts, j.LeaseDuration, j.DiscardWhenExhausted, j.Reason, j.Version, j.Sequence)
}

// A store file of an earlier build is read: every job with every field, what an
// idempotency key asked for, the paused classes, and the audit.
func TestGoldenRead(t *testing.T) {
	path := goldentest.Unpack(t, goldenStore)
	st, err := store.Open(path, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	stored, err := readJobs(st, func(id string, value []byte) error {
		if !strings.HasPrefix(id, auditPrefix) {
			fmt.Fprintf(&out, "%q: %s\n", id, value)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range stored {
		fmt.Fprintln(&out, describe(j))
		if r, is := ReadRequest(j); is {
			fmt.Fprintf(&out, "%s asks for: target %q, key %q, idempotency key %q, body %q, slots %g, work %v\n", j.ID, r.Target, r.Key, r.IdempotencyKey, r.Body, r.Slots, r.Work)
		}
	}
	if records, err := st.Verify(); err != nil || records == 0 {
		t.Errorf("%d records, %v", records, err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "jobs.txt", out.String())
	if want := dump(t, path); !bytes.Equal(want, mustRead(t, "records.txt")) {
		t.Error("the store file holds other records than today's writer writes")
	}
}

func mustRead(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A service recovers from that file: the states that are derived, and the paused classes.
func TestGoldenRecovered(t *testing.T) {
	s := openScripted(t, goldentest.Unpack(t, goldenStore))
	defer s.Close()
	var out bytes.Buffer
	s.Each(func(j jobs.Job) { fmt.Fprintln(&out, describe(j)) })
	paused := map[string]bool{}
	for _, class := range s.pausedClasses {
		paused[class] = true
	}
	fmt.Fprintf(&out, "paused %v\n", paused)
	goldentest.Compare(t, "recovered.txt", out.String())
}

// Views and audits keep their JSON form.
func TestGoldenShown(t *testing.T) {
	offline, err := OpenOffline(goldentest.Unpack(t, goldenStore), func() time.Duration { return goldenStart + 2*time.Minute })
	if err != nil {
		t.Fatal(err)
	}
	defer offline.Close()
	var out bytes.Buffer
	lines := json.NewEncoder(&out)
	list, _ := offline.Page(0, 1000, 1000, func(jobs.Job) bool { return true })
	for _, j := range list {
		for _, full := range []bool{false, true} {
			if err := lines.Encode(NewView(j, full)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, a := range offline.Audits {
		if err := lines.Encode(a); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "shown.jsonl", out.String())
}

// States keep the numbers by which they are stored, and their names.
func TestGoldenStates(t *testing.T) {
	for number, want := range []string{"accepted", "scheduled", "ready", "leased", "started", "waiting", "done", "dead", "discarded", "in doubt"} {
		var j jobs.Job
		if err := json.Unmarshal(fmt.Appendf(nil, `{"State":%d}`, number), &j); err != nil || j.State.String() != want {
			t.Errorf("state %d is %q, %v; want %q", number, j.State, err, want)
		}
	}
	if n := len(jobs.States()); n != 10 {
		t.Errorf("%d states", n)
	}
}
