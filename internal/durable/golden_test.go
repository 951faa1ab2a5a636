package durable

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// These tests check the format of the store file byte by byte: this build must read files of earlier builds, and earlier
// builds must be able to read the files that it writes. The golden files contain only stored names.

// The store file of an earlier build, and Unix times that runScript uses.
const (
	goldenStore = "testdata/jobs-schema-1.db.gz"
	goldenStart = 1_700_000_000 * time.Second // when the script begins; always in the past
	farFuture   = 7_258_118_400 * time.Second // in the year 2200
)

// dump lists the records of a store file: bucket, key, and value. The part of a value before the JSON is shown in
// hexadecimal.
func dump(t *testing.T, path string) []byte {
	t.Helper()
	file, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var out bytes.Buffer
	err = file.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				headerSize := len(value)
				if string(name) == "jobs" {
					headerSize = 9 // the schema version and the checksum
				}
				_, err := fmt.Fprintf(&out, "%s %q %x %s\n", name, key, value[:headerSize], value[headerSize:])
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// A fixed sequence of changes writes exactly the same records as earlier builds did.
func TestGoldenWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s := openScripted(t, path)
	runScript(s)
	if err := s.CloseNow(); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "records.txt", string(dump(t, path)))
}

// describe lists all fields of a job, under names that only the golden files of this test use.
func describe(job jobs.Job) string {
	return fmt.Sprintf("%s: class %q, not twice %v, payload %q, sum %d, result %q, state %q, fence %d, worker %q, promise %d, for tills only %v, "+
		"due %d, attempts %d, at most %d, lease %d, dropped %v, why %q, version %d, sequence %d",
		job.ID, job.Class, job.NonIdempotent, job.Payload, job.PayloadHash, job.Result, job.State, job.Fence, job.Worker,
		job.WorkerGuarantee, job.RequiresDeduplication, job.DueAt, job.Attempts, job.MaxAttempts, job.LeaseDuration,
		job.DiscardWhenExhausted, job.Reason, job.Version, job.Sequence)
}

// A store file of an earlier build can be read: every field of every job, the request with an idempotency key, the paused
// classes, and the audits.
func TestGoldenRead(t *testing.T) {
	path := goldentest.Unpack(t, goldenStore)
	file, err := store.Open(path, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	stored, err := readJobs(file, func(id string, value []byte) error {
		if !strings.HasPrefix(id, auditPrefix) {
			fmt.Fprintf(&out, "%q: %s\n", id, value)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, job := range stored {
		fmt.Fprintln(&out, describe(job))
		if request, isRequest := ReadRequest(job); isRequest {
			fmt.Fprintf(&out, "%s asks for: target %q, key %q, idempotency key %q, body %q, slots %g, work %v\n", job.ID,
				request.Target, request.Key, request.IdempotencyKey, request.Body, request.Slots, request.Work)
		}
	}
	if records, err := file.Verify(); err != nil || records == 0 {
		t.Errorf("%d records, %v", records, err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "jobs.txt", out.String())
	if want := dump(t, path); !bytes.Equal(want, mustRead(t, "records.txt")) {
		t.Error("the store file holds other records than this build writes")
	}
}

// mustRead reads a golden file.
func mustRead(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A service recovers the jobs of that file, with the states that Recover derives, and the paused classes.
func TestGoldenRecovered(t *testing.T) {
	s := openScripted(t, goldentest.Unpack(t, goldenStore))
	defer s.CloseNow()
	var out bytes.Buffer
	s.Each(func(job jobs.Job) { fmt.Fprintln(&out, describe(job)) })
	paused := map[string]bool{}
	for _, class := range s.pausedClasses {
		paused[class] = true
	}
	fmt.Fprintf(&out, "paused %v\n", paused)
	goldentest.Compare(t, "recovered.txt", out.String())
}

// The JSON format of views and audits does not change.
func TestGoldenShown(t *testing.T) {
	offline, err := OpenOffline(goldentest.Unpack(t, goldenStore), func() time.Duration { return goldenStart + 2*time.Minute })
	if err != nil {
		t.Fatal(err)
	}
	defer offline.Close()
	var out bytes.Buffer
	lines := json.NewEncoder(&out)
	list, _ := offline.Page(0, 1000, 1000, func(jobs.Job) bool { return true })
	for _, job := range list {
		for _, withPayload := range []bool{false, true} {
			if err := lines.Encode(NewView(job, withPayload)); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, audit := range offline.Audits {
		if err := lines.Encode(audit); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "shown.jsonl", out.String())
}

// The numbers by which states are stored, and their names, do not change.
func TestGoldenStates(t *testing.T) {
	for number, want := range []string{"accepted", "scheduled", "ready", "leased", "started", "waiting", "done", "dead", "discarded", "in doubt"} {
		var job jobs.Job
		err := json.Unmarshal(fmt.Appendf(nil, `{"State":%d}`, number), &job)
		if err != nil || job.State.String() != want {
			t.Errorf("state %d is %q, %v; want %q", number, job.State, err, want)
		}
	}
	if count := len(jobs.States()); count != 10 {
		t.Errorf("%d states, want 10", count)
	}
}
