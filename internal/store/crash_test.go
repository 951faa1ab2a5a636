package store

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// These tests simulate what a power cut during a commit may leave on disk, from the file before and after the commit.
// Pages that had not been synced are written, not written, or torn at any sector. The meta page, with which the commit
// takes effect, is old, new or torn.

// Sizes in bytes of the simulated disk and of bbolt.
const (
	pageSize       = 4096
	sectorSize     = 512
	metaPages      = 2   // at the start of the file
	tornMetaMaxLen = 160 // a meta page has its fields and a checksum in its first 80 bytes
)

// crashImage returns an image of the file after a crash at a random moment of the commit that changed it from before to
// after. committed says that the commit has taken effect.
func crashImage(random *rand.Rand, before, after []byte) (image []byte, committed bool) {
	image = slices.Clone(before)
	if len(after) > len(before) && random.IntN(4) > 0 { // the file had already grown
		image = grow(image, len(after))
	}
	allPagesSynced := random.IntN(2) == 0
	if !allPagesSynced {
		tearPages(random, image, before, after)
		return image, false
	}
	image = grow(image, len(after))
	copy(image[metaPages*pageSize:], after[metaPages*pageSize:])
	return image, tearMetaPages(random, image, before, after)
}

// grow appends zeros up to a size.
func grow(image []byte, size int) []byte {
	return append(image, make([]byte, max(size-len(image), 0))...)
}

// isUnchanged reports whether the page at an offset is the same before and after a commit.
func isUnchanged(before, after []byte, at int) bool {
	return at < len(before) && bytes.Equal(before[at:at+pageSize], after[at:at+pageSize])
}

// tearPages copies a random number of sectors of each page that the commit has changed, except the meta pages.
func tearPages(random *rand.Rand, image, before, after []byte) {
	for at := metaPages * pageSize; at < len(after); at += pageSize {
		if isUnchanged(before, after, at) {
			continue
		}
		size := random.IntN(pageSize/sectorSize+1) * sectorSize
		if at+size <= len(image) {
			copy(image[at:at+size], after[at:at+size])
		}
	}
}

// tearMetaPages copies a random number of bytes of the meta page that the commit has changed. It reports whether the
// page is then complete, so that the commit takes effect.
func tearMetaPages(random *rand.Rand, image, before, after []byte) (committed bool) {
	for at := 0; at < metaPages*pageSize; at += pageSize {
		if isUnchanged(before, after, at) {
			continue
		}
		size := random.IntN(tornMetaMaxLen)
		copy(image[at:at+size], after[at:at+size])
		if bytes.Equal(image[at:at+pageSize], after[at:at+pageSize]) {
			committed = true
		}
	}
	return committed
}

// Size of TestCrashPoints.
const (
	crashWorkers     = 8
	commitsPerWorker = 20
	imagesPerCommit  = 25
)

// crashCounts counts the crash images that the workers of TestCrashPoints have tried.
type crashCounts struct {
	tried     atomic.Int64
	committed atomic.Int64 // those of them in which the commit had taken effect
}

// crashWorker commits to a store of its own, and checks images of what a crash during each commit may leave.
type crashWorker struct {
	t         *testing.T
	number    int
	random    *rand.Rand
	counts    *crashCounts
	store     *Store
	path      string
	imagePath string
	model     map[string]string // what the store holds, by id
	before    []byte            // the file after the last commit
}

// run makes the commits of the worker until a check fails.
func (w *crashWorker) run() {
	directory := memoryDir(w.t)
	w.path = filepath.Join(directory, "jobs.db")
	w.imagePath = filepath.Join(directory, "image.db")
	store, err := Open(w.path, Options{})
	if err != nil {
		w.t.Error(err)
		return
	}
	defer store.Close()
	w.store = store
	w.model = map[string]string{}
	w.before = w.readFile()
	for commit := range commitsPerWorker {
		if !w.tryCommit(commit) {
			return
		}
	}
}

func (w *crashWorker) readFile() []byte {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.t.Error(err)
	}
	return content
}

// changes picks random records for a commit, and returns them with what the store must hold after it.
func (w *crashWorker) changes(commit int) (records []Record, next map[string]string) {
	next = maps.Clone(w.model)
	for range 1 + w.random.IntN(12) {
		id := fmt.Sprint("job-", w.random.IntN(60))
		_, known := next[id]
		if known && w.random.IntN(3) == 0 {
			delete(next, id)
			records = append(records, Record{id, nil})
			continue
		}
		next[id] = strings.Repeat(fmt.Sprint(commit, " "), w.random.IntN(400))
		records = append(records, Record{id, next[id]})
	}
	return records, next
}

// tryCommit makes a commit and checks images of a crash during it. It returns false if a check has failed.
func (w *crashWorker) tryCommit(commit int) bool {
	records, next := w.changes(commit)
	if err := put(w.store, records...); err != nil {
		w.t.Error(err)
		return false
	}
	after := w.readFile()
	for range imagesPerCommit {
		if !w.tryImage(commit, after, next) {
			return false
		}
	}
	w.model = next
	w.before = after
	return true
}

// tryImage checks that an image holds exactly what was there before the commit, or exactly what is there after it.
func (w *crashWorker) tryImage(commit int, after []byte, next map[string]string) bool {
	image, committed := crashImage(w.random, w.before, after)
	os.Remove(w.imagePath) // write a new file: the system would flush one that is truncated and rewritten
	if err := os.WriteFile(w.imagePath, image, fileMode); err != nil {
		w.t.Error(err)
		return false
	}
	want := w.model
	if committed {
		want = next
		w.counts.committed.Add(1)
	}
	w.counts.tried.Add(1)
	got, err := contents(w.imagePath)
	if err != nil || !maps.Equal(got, want) {
		w.t.Errorf("worker %d, commit %d, committed %v: %v; %d jobs, want %d", w.number, commit, committed, err, len(got), len(want))
		return false
	}
	return true
}

// After a crash at any of thousands of points the file opens without an error, and holds exactly what was there before
// the commit, or exactly what is there after it.
func TestCrashPoints(t *testing.T) {
	began := time.Now()
	var running sync.WaitGroup
	var counts crashCounts
	for number := range crashWorkers {
		worker := &crashWorker{t: t, number: number, random: rand.New(rand.NewPCG(11, uint64(number))), counts: &counts}
		running.Go(worker.run)
	}
	running.Wait()
	tried := counts.tried.Load()
	committed := counts.committed.Load()
	t.Logf("%d crash points, after %d of which the commit had taken effect, %.0f a second", tried, committed, float64(tried)/time.Since(began).Seconds())
	const want = crashWorkers * commitsPerWorker * imagesPerCommit
	if tried != want || committed == 0 || committed == tried {
		t.Errorf("%d of %d points tried, after %d the commit had taken effect", tried, want, committed)
	}
}

// memoryDir returns a directory on a file system in memory if there is one: the crashes are simulated, so the tests need
// not wait for a real disk.
func memoryDir(t *testing.T) string {
	directory, err := os.MkdirTemp("/dev/shm", "store")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(directory) })
	return directory
}
