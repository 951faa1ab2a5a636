package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// testJob is the value of the records in these tests.
type testJob struct{ State, Payload string }

// mustPut stores one record.
func mustPut(t testing.TB, s *Store, id string, v any) {
	t.Helper()
	result := make(chan error, 1)
	s.Put([]Record{{id, v}}, func(err error) { result <- err })
	if err := <-result; err != nil {
		t.Fatal(err)
	}
}

// mustLoad reads the states of all records, by id.
func mustLoad(t testing.TB, s *Store) map[string]string {
	t.Helper()
	list, err := Load(s, func(id string, value []byte) (pair [2]string, keep bool, err error) {
		var j testJob
		err = json.Unmarshal(value, &j)
		return [2]string{id, j.State}, true, err
	})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, pair := range list {
		got[pair[0]] = pair[1]
	}
	return got
}

// Open, Load and Verify reject files that are open elsewhere, damaged or of a later schema, and name them.
func TestRejectedFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 300 {
		s.Put([]Record{{fmt.Sprint("job-", i), testJob{"accepted", strings.Repeat("y", 200)}}}, func(error) {})
	}
	mustPut(t, s, "last", testJob{"accepted", "marker"})
	if _, err := Open(path, Options{OpenTimeout: 50 * time.Millisecond}); err == nil || !strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	s.Put([]Record{{"x", testJob{}}}, func(err error) {
		if !errors.Is(err, ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
	})
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// A byte of a record has changed: the record is named, and not passed over.
	i := strings.Index(string(intact), "marker")
	damaged := append([]byte{}, intact...)
	for ; i >= 0; i = strings.Index(string(damaged), "marker") {
		damaged[i] ^= 1
	}
	damagedPath := filepath.Join(dir, "bad.db")
	if err := os.WriteFile(damagedPath, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	damagedStore, err := Open(damagedPath, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Load(damagedStore, func(string, []byte) (int, bool, error) { return 0, false, nil }); err == nil || !strings.Contains(err.Error(), `job "last": its record is damaged`) {
		t.Errorf("a damaged record: %v", err)
	}
	if _, err := damagedStore.Verify(); err == nil {
		t.Error("Verify finds nothing")
	}
	damagedStore.Close()
	// Both meta pages of the file are damaged: it does not open.
	for _, at := range []int{16, 4096 + 16} {
		damaged[at] ^= 0xff
	}
	if err := os.WriteFile(damagedPath, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(damagedPath, Options{}); err == nil || !strings.Contains(err.Error(), damagedPath) {
		t.Errorf("damaged meta pages: %v", err)
	}
	// A file of a later schema.
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(schemaKey, binary.BigEndian.AppendUint64(nil, SchemaVersion+1))
	})
	db.Close()
	if _, err := Open(path, Options{}); err == nil || !strings.Contains(err.Error(), "its schema is 2; this program knows 1") {
		t.Errorf("a later schema: %v", err)
	}
}

// BenchmarkPut measures changes per second beside the disk's own fsyncs per second in the same run.
func BenchmarkPut(b *testing.B) {
	dir := b.TempDir()
	measureDisk := func() float64 {
		f, _ := os.Create(filepath.Join(dir, "raw"))
		defer f.Close()
		begin, n := time.Now(), 0
		for ; time.Since(begin) < 300*time.Millisecond; n++ {
			f.WriteAt(make([]byte, 4096), int64(n%64)*4096)
			syscall.Fdatasync(int(f.Fd()))
		}
		return float64(n) / time.Since(begin).Seconds()
	}
	for _, producers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(producers), func(b *testing.B) {
			s, err := Open(filepath.Join(dir, fmt.Sprint(producers)), Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			fsyncsPerSecond := measureDisk()
			var running sync.WaitGroup
			b.ResetTimer()
			for p := range producers {
				running.Add(1)
				go func() {
					defer running.Done()
					for i := p; i < b.N; i += producers {
						done := make(chan struct{})
						s.Put([]Record{{fmt.Sprint(i), testJob{"accepted", "0123456789"}}}, func(error) { close(done) })
						<-done
					}
				}()
			}
			running.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
			b.ReportMetric(fsyncsPerSecond, "fsyncs/s")
		})
	}
}
