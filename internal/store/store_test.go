package store

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

type job struct{ State, Payload string }

func put(t testing.TB, s *Store, id string, v any) {
	t.Helper()
	told := make(chan error, 1)
	s.Put([]Record{{id, v}}, func(err error) { told <- err })
	if err := <-told; err != nil {
		t.Fatal(err)
	}
}

func load(t testing.TB, s *Store) map[string]string {
	t.Helper()
	list, err := Load(s, func(id string, value []byte) (pair [2]string, keep bool, err error) {
		var j job
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

// The child writes until it is killed and prints each id that it was told is stored.
func TestMain(m *testing.M) {
	if path := os.Getenv("STORE_CHILD"); path != "" {
		s, err := Open(path, Options{})
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		for p := range 8 {
			all.Add(1)
			go func() {
				defer all.Done()
				for i := 0; ; i++ {
					id := fmt.Sprintf("%s-%d-%06d", os.Getenv("STORE_ROUND"), p, i)
					done := make(chan struct{})
					s.Put([]Record{{id, job{"accepted", strings.Repeat("x", i%700)}}, {id + "+", job{"twin", ""}}}, func(err error) {
						if err == nil {
							mu.Lock()
							fmt.Println(id)
							mu.Unlock()
						}
						close(done)
					})
					<-done
				}
			}()
		}
		all.Wait()
	}
	os.Exit(m.Run())
}

// Killed at moments that come as they do, over and over on one file: all that was
// told is there, changes handed over together are there together, and it opens at once.
func TestKilled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	told := map[string]bool{}
	for round := range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "STORE_CHILD="+path, fmt.Sprint("STORE_ROUND=", round))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewScanner(out)
		for n := 0; in.Scan(); n++ {
			told[in.Text()] = true
			if n == 20+round*13 {
				cmd.Process.Signal(syscall.SIGKILL)
			}
		}
		cmd.Wait()
		s, err := Open(path, Options{})
		if err != nil {
			t.Fatalf("after kill %d: %v", round, err)
		}
		jobs, err := s.Verify()
		got := load(t, s)
		if err != nil || jobs != len(got) {
			t.Fatalf("after kill %d: %d jobs, %v", round, jobs, err)
		}
		for id := range told {
			if got[id] != "accepted" {
				t.Fatalf("after kill %d: %s was told and is not there", round, id)
			}
		}
		for id := range got {
			if twin, is := strings.CutSuffix(id, "+"); is && got[twin] == "" || !is && got[id+"+"] == "" {
				t.Fatalf("after kill %d: %s is there without what came with it", round, id)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if len(told) < 500 {
		t.Errorf("only %d jobs were told", len(told))
	}
}

// What cannot be kept is told, takes nothing else with it, and the store goes on.
func TestWriteFails(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "jobs.db"), Options{GroupCommitDelay: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	put(t, s, "a", job{"accepted", ""})
	full := errors.New("no space left on device")
	var mu sync.Mutex
	failing := true
	s.mu.Lock()
	s.options.InjectWriteError = func() error {
		mu.Lock()
		defer mu.Unlock()
		if failing {
			return full
		}
		return nil
	}
	s.mu.Unlock()
	var order []int
	var all sync.WaitGroup
	for i := range 50 {
		all.Add(1)
		s.Put([]Record{{fmt.Sprint("b", i), job{"accepted", ""}}}, func(err error) {
			if !errors.Is(err, full) {
				t.Errorf("%d: %v", i, err)
			}
			order = append(order, i)
			all.Done()
		})
	}
	all.Wait()
	for i, n := range order {
		if i != n {
			t.Fatalf("told in the order %v", order)
		}
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	put(t, s, "c", job{"accepted", ""})
	put(t, s, "a", nil)
	if got := load(t, s); len(got) != 1 || got["c"] != "accepted" {
		t.Errorf("%v", got)
	}
	told := make(chan error, 2) // one that cannot be worded does not take the other with it
	s.Put([]Record{{"d", make(chan int)}}, func(err error) { told <- err })
	s.Put([]Record{{"e", job{"accepted", ""}}}, func(err error) { told <- err })
	if first, second := <-told, <-told; first == nil || second != nil {
		t.Errorf("%v, %v", first, second)
	}
}

// Closed while a change is being told, with another handed over behind it: both are stored, and Close ends.
func TestCloseMeetsAWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	s.Put([]Record{{"a", job{"accepted", ""}}}, func(error) {
		s.Put([]Record{{"b", job{"accepted", ""}}}, func(error) {})
		go func() { ended <- s.Close() }()
		for closed := false; !closed; time.Sleep(time.Millisecond) {
			s.mu.Lock()
			closed = s.closed
			s.mu.Unlock()
		}
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Close does not end")
	}
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := load(t, s); len(got) != 2 {
		t.Errorf("%v", got)
	}
}

func TestRefused(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 300 {
		s.Put([]Record{{fmt.Sprint("job-", i), job{"accepted", strings.Repeat("y", 200)}}}, func(error) {})
	}
	put(t, s, "last", job{"accepted", "marker"})
	if _, err := Open(path, Options{OpenTimeout: 50 * time.Millisecond}); err == nil || !strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	s.Put([]Record{{"x", job{}}}, func(err error) {
		if !errors.Is(err, ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
	})
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// A byte of a record changes: it is named, and not passed over.
	i := strings.Index(string(whole), "marker")
	flipped := append([]byte{}, whole...)
	for ; i >= 0; i = strings.Index(string(flipped), "marker") {
		flipped[i] ^= 1
	}
	bad := filepath.Join(dir, "bad.db")
	if err := os.WriteFile(bad, flipped, 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := Open(bad, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Load(b, func(string, []byte) (int, bool, error) { return 0, false, nil }); err == nil || !strings.Contains(err.Error(), `job "last": its record is damaged`) {
		t.Errorf("a damaged record: %v", err)
	}
	if _, err := b.Verify(); err == nil {
		t.Error("Verify finds nothing")
	}
	b.Close()
	// Both heads of the file are damaged: it does not open, and says so.
	for _, at := range []int{16, 4096 + 16} {
		flipped[at] ^= 0xff
	}
	if err := os.WriteFile(bad, flipped, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(bad, Options{}); err == nil || !strings.Contains(err.Error(), bad) {
		t.Errorf("damaged heads: %v", err)
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

// BenchmarkPut counts changes a second beside the disk's own fsyncs in the same run.
func BenchmarkPut(b *testing.B) {
	dir := b.TempDir()
	raw := func() float64 {
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
			disk := raw()
			var all sync.WaitGroup
			b.ResetTimer()
			for p := range producers {
				all.Add(1)
				go func() {
					defer all.Done()
					for i := p; i < b.N; i += producers {
						done := make(chan struct{})
						s.Put([]Record{{fmt.Sprint(i), job{"accepted", "0123456789"}}}, func(error) { close(done) })
						<-done
					}
				}()
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
			b.ReportMetric(disk, "fsyncs/s")
		})
	}
}

// A snapshot taken while others write holds one moment: what was stored together
// is there together, and all that was told before it. Compacting keeps all, in less room.
func TestSnapshotAndCompact(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	told := map[string]bool{}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for p := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id, done := fmt.Sprint(p, "-", i), make(chan struct{})
				s.Put([]Record{{id, job{"accepted", strings.Repeat("s", 300)}}, {id + "+", job{"twin", ""}}}, func(error) {
					mu.Lock()
					told[id] = true
					mu.Unlock()
					close(done)
				})
				<-done
			}
		}()
	}
	for n := range 5 {
		for enough := false; !enough; time.Sleep(time.Millisecond) {
			mu.Lock()
			enough = len(told) > 40*(n+1)
			mu.Unlock()
		}
		mu.Lock()
		var before []string
		for id := range told {
			before = append(before, id)
		}
		mu.Unlock()
		copied := filepath.Join(dir, fmt.Sprint("copy-", n))
		if err := s.Snapshot(copied); err != nil {
			t.Fatal(err)
		}
		c, err := Open(copied, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Verify(); err != nil {
			t.Error(err)
		}
		got := load(t, c)
		c.Close()
		for _, id := range before {
			if got[id] == "" {
				t.Fatalf("snapshot %d: %s was told before it and is not there", n, id)
			}
		}
		for id := range got {
			if twin, is := strings.CutSuffix(id, "+"); is && got[twin] == "" || !is && got[id+"+"] == "" {
				t.Fatalf("snapshot %d: %s is there without what came with it", n, id)
			}
		}
	}
	close(stop)
	all.Wait()
	want := load(t, s)
	for id := range want { // most go
		if len(want) > 20 {
			put(t, s, id, nil)
			delete(want, id)
		}
	}
	if _, _, err := Compact(path, 50*time.Millisecond); err == nil || !strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("compacted while open: %v", err)
	}
	if err := s.Snapshot(filepath.Join(dir, "copy-0")); err == nil {
		t.Error("a snapshot took another file's place")
	}
	s.Close()
	before, after, err := Compact(path, time.Second)
	if err != nil || after >= before {
		t.Errorf("compacted from %d to %d bytes: %v", before, after, err)
	}
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := load(t, s); !maps.Equal(got, want) {
		t.Errorf("compacted: %d jobs, want %d", len(got), len(want))
	}
	list, _ := os.ReadDir(dir)
	for _, f := range list {
		if strings.HasPrefix(f.Name(), ".") || strings.HasSuffix(f.Name(), ".compact") {
			t.Errorf("left behind: %s", f.Name())
		}
	}
}

// A file of an earlier schema is brought forward as it is opened, whole or not at all.
func TestMigration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{})
	if err != nil {
		t.Fatal(err)
	}
	put(t, s, "a", job{"old", ""})
	s.Close()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(metaBucket).Put(schemaKey, binary.BigEndian.AppendUint64(nil, SchemaVersion-1))
	})
	db.Close()
	if _, err := Open(path, Options{}); err == nil || !strings.Contains(err.Error(), "no way from schema 0 on") {
		t.Fatalf("without a migration: %v", err)
	}
	fail := true
	migrations[SchemaVersion-1] = func(tx *bbolt.Tx) error {
		raw, err := encode(Record{"a", job{"new", ""}})
		if err == nil {
			err = tx.Bucket(recordsBucket).Put([]byte("a"), raw)
		}
		if fail {
			return errors.New("half way")
		}
		return err
	}
	defer delete(migrations, SchemaVersion-1)
	if _, err := Open(path, Options{}); err == nil || !strings.Contains(err.Error(), "half way") {
		t.Fatalf("a migration that fails: %v", err)
	}
	fail = false
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	if got := load(t, s); got["a"] != "new" {
		t.Errorf("%v", got)
	}
	s.Close()
	delete(migrations, SchemaVersion-1) // it is not needed again
	if s, err = Open(path, Options{}); err != nil {
		t.Fatal(err)
	}
	s.Close()
}
