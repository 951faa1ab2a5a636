package store

import (
	"encoding/json"
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

// These tests simulate what a power cut may leave of a commit, from the file before and after it. Pages that had not been
// synced are there, missing, or torn at any sector; the meta page that makes the commit count is old, new or torn.

// Sizes in bytes of the simulated disk and of bbolt.
const (
	pageSize       = 4096
	sectorSize     = 512
	metaPages      = 2   // at the start of the file
	tornMetaMaxLen = 160 // a meta page has its fields and a checksum in its first 80 bytes
)

// crashImage makes an image of the file at a moment of the commit that leads from before to after. committed tells that
// the commit counts.
func crashImage(random *rand.Rand, before, after []byte) (image []byte, committed bool) {
	image = slices.Clone(before)
	if len(after) > len(before) && random.IntN(4) > 0 { // the file had grown
		image = append(image, make([]byte, len(after)-len(before))...)
	}
	synced := random.IntN(2) == 0 // all pages are on disk, and the meta page is being written
	for at := metaPages * pageSize; at < len(after); at += pageSize {
		if at < len(before) && string(before[at:at+pageSize]) == string(after[at:at+pageSize]) {
			continue
		}
		n := pageSize
		if !synced {
			n = random.IntN(pageSize/sectorSize+1) * sectorSize
		}
		if at+n > len(image) {
			if !synced {
				continue
			}
			image = append(image, make([]byte, at+n-len(image))...)
		}
		copy(image[at:at+n], after[at:at+n])
	}
	if !synced {
		return image, false
	}
	if len(image) < len(after) {
		image = append(image, make([]byte, len(after)-len(image))...)
	}
	for at := 0; at < metaPages*pageSize; at += pageSize {
		if string(before[at:at+pageSize]) == string(after[at:at+pageSize]) {
			continue
		}
		n := random.IntN(tornMetaMaxLen)
		copy(image[at:at+n], after[at:at+n])
		committed = committed || string(image[at:at+pageSize]) == string(after[at:at+pageSize])
	}
	return image, committed
}

// Thousands of crash points: each leaves all that was there before the commit, or all that is there after it, and the
// file opens without an error.
func TestCrashPoints(t *testing.T) {
	const workers, commitsPerWorker, imagesPerCommit = 8, 20, 25
	began := time.Now()
	var running sync.WaitGroup
	var tried, committed atomic.Int64
	for worker := range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			random := rand.New(rand.NewPCG(11, uint64(worker)))
			dir := memoryDir(t)
			path, imagePath := filepath.Join(dir, "jobs.db"), filepath.Join(dir, "image.db")
			s, err := Open(path, Options{})
			if err != nil {
				t.Error(err)
				return
			}
			defer s.Close()
			read := func() []byte {
				text, err := os.ReadFile(path)
				if err != nil {
					t.Error(err)
				}
				return text
			}
			model, before := map[string]string{}, read()
			for c := range commitsPerWorker {
				next := maps.Clone(model)
				var records []Record
				for range 1 + random.IntN(12) {
					id := fmt.Sprint("job-", random.IntN(60))
					if _, known := next[id]; known && random.IntN(3) == 0 {
						delete(next, id)
						records = append(records, Record{id, nil})
						continue
					}
					next[id] = strings.Repeat(fmt.Sprint(c, " "), random.IntN(400))
					records = append(records, Record{id, next[id]})
				}
				result := make(chan error, 1)
				s.Put(records, func(err error) { result <- err })
				if err := <-result; err != nil {
					t.Error(err)
					return
				}
				now := read()
				for range imagesPerCommit {
					image, isCommitted := crashImage(random, before, now)
					os.Remove(imagePath) // a new file, as the system would flush one that is truncated and rewritten
					if err := os.WriteFile(imagePath, image, 0o600); err != nil {
						t.Error(err)
						return
					}
					want := model
					if isCommitted {
						want = next
						committed.Add(1)
					}
					got, err := contents(imagePath)
					if tried.Add(1); err != nil || !maps.Equal(got, want) {
						t.Errorf("worker %d, commit %d, committed %v: %v; %d jobs, want %d", worker, c, isCommitted, err, len(got), len(want))
						return
					}
				}
				model, before = next, now
			}
		}()
	}
	running.Wait()
	t.Logf("%d crash points, %d of which left the commit complete, %.0f a second", tried.Load(), committed.Load(), float64(tried.Load())/time.Since(began).Seconds())
	if tried.Load() != workers*commitsPerWorker*imagesPerCommit || committed.Load() == 0 || committed.Load() == tried.Load() {
		t.Errorf("%d of %d points tried, %d left the commit complete", tried.Load(), workers*commitsPerWorker*imagesPerCommit, committed.Load())
	}
}

// memoryDir is a directory in memory where there is one: the disk is simulated, so there is no need to wait for a real one.
func memoryDir(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "store")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// contents is all that a verified file holds.
func contents(path string) (map[string]string, error) {
	s, err := Open(path, Options{})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if _, err := s.Verify(); err != nil {
		return nil, err
	}
	got := map[string]string{}
	list, err := Load(s, func(id string, value []byte) (pair [2]string, keep bool, err error) {
		pair[0] = id
		err = json.Unmarshal(value, &pair[1])
		return pair, true, err
	})
	for _, pair := range list {
		got[pair[0]] = pair[1]
	}
	return got, err
}
