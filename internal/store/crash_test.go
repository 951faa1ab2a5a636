package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The simulated disk: what a power cut may leave of a commit, made from the file
// before and after it. Pages that had not been synced are there, not there, or
// torn at any sector; the head that makes the commit count is old, new or torn.

const (
	pageSize = 4096
	sector   = 512
)

// crash makes an image of the file at a moment of the commit from a to b. after
// tells that the commit counts.
func crash(random *rand.Rand, a, b []byte) (image []byte, after bool) {
	image = slices.Clone(a)
	if len(b) > len(a) && random.IntN(4) > 0 { // the file had grown
		image = append(image, make([]byte, len(b)-len(a))...)
	}
	synced := random.IntN(2) == 0 // all pages were, and the head is on its way
	for at := 2 * pageSize; at < len(b); at += pageSize {
		if at < len(a) && string(a[at:at+pageSize]) == string(b[at:at+pageSize]) {
			continue
		}
		n := pageSize
		if !synced {
			n = random.IntN(pageSize/sector+1) * sector
		}
		if at+n > len(image) {
			if !synced {
				continue
			}
			image = append(image, make([]byte, at+n-len(image))...)
		}
		copy(image[at:at+n], b[at:at+n])
	}
	if !synced {
		return image, false
	}
	if len(image) < len(b) {
		image = append(image, make([]byte, len(b)-len(image))...)
	}
	for at := 0; at < 2*pageSize; at += pageSize {
		if string(a[at:at+pageSize]) == string(b[at:at+pageSize]) {
			continue
		}
		n := random.IntN(160) // a head has its words and a checksum in its first 80 bytes
		copy(image[at:at+n], b[at:at+n])
		after = after || string(image[at:at+pageSize]) == string(b[at:at+pageSize])
	}
	return image, after
}

// Thousands of crash points: each leaves all that was there before the commit,
// or all that is after it, and the file opens without a word.
func TestCrashPoints(t *testing.T) {
	const lanes, commits, points = 8, 20, 25
	began := time.Now()
	var all sync.WaitGroup
	var tried, news atomic.Int64
	for lane := range lanes {
		all.Add(1)
		go func() {
			defer all.Done()
			random := rand.New(rand.NewPCG(11, uint64(lane)))
			dir := memoryDir(t)
			path, bad := filepath.Join(dir, "jobs.db"), filepath.Join(dir, "image.db")
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
			for c := range commits {
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
				told := make(chan error, 1)
				s.Put(records, func(err error) { told <- err })
				if err := <-told; err != nil {
					t.Error(err)
					return
				}
				now := read()
				for range points {
					image, after := crash(random, before, now)
					os.Remove(bad) // or the system flushes what is cut off and written anew
					if err := os.WriteFile(bad, image, 0o600); err != nil {
						t.Error(err)
						return
					}
					want := model
					if after {
						want = next
						news.Add(1)
					}
					got, err := contents(bad)
					if tried.Add(1); err != nil || !maps.Equal(got, want) {
						t.Errorf("lane %d, commit %d, after %v: %v; %d jobs, want %d", lane, c, after, err, len(got), len(want))
						return
					}
				}
				model, before = next, now
			}
		}()
	}
	all.Wait()
	t.Logf("%d crash points, %d of which left the commit whole, %.0f a second", tried.Load(), news.Load(), float64(tried.Load())/time.Since(began).Seconds())
	if tried.Load() != lanes*commits*points || news.Load() == 0 || news.Load() == tried.Load() {
		t.Errorf("%d of %d points tried, %d left the commit whole", tried.Load(), lanes*commits*points, news.Load())
	}
}

// memoryDir is a folder in memory where there is one: the disk is simulated, and need not be waited for.
func memoryDir(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "store")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

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

// The disk's own errors, met by real writes: the file is not to be written to for
// a while, or not to grow. What meets them is told so and leaves nothing behind,
// and the store goes on.
func TestDiskErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{GroupCommitDelay: time.Microsecond})
	if err != nil {
		t.Fatal(err)
	}
	try := func(id, text string) error {
		told := make(chan error, 1)
		s.Put([]Record{{id, text}}, func(err error) { told <- err })
		return <-told
	}
	file := -1 // the store's own descriptor
	list, _ := os.ReadDir("/proc/self/fd")
	for _, f := range list {
		if to, _ := os.Readlink("/proc/self/fd/" + f.Name()); to == path {
			fmt.Sscan(f.Name(), &file)
		}
	}
	whole, err := syscall.Dup(file)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(whole)
	reader, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	random := rand.New(rand.NewPCG(3, 3))
	want := map[string]string{}
	failed := 0
	for i := range 200 {
		id, text := fmt.Sprint("job-", random.IntN(40)), strings.Repeat("z", random.IntN(3000))
		broken := random.IntN(3) == 0
		if broken { // each write is refused by the system
			syscall.Dup3(int(reader.Fd()), file, syscall.O_CLOEXEC)
		}
		err := try(id, text)
		syscall.Dup3(whole, file, syscall.O_CLOEXEC)
		if (err != nil) != broken {
			t.Fatalf("%d: broken %v, and told %v", i, broken, err)
		}
		if broken {
			failed++
			continue
		}
		want[id] = text
	}
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var limit syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit)
	info, _ := os.Stat(path)
	tight := limit
	tight.Cur = uint64(info.Size())
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &tight); err != nil {
		t.Fatal(err)
	}
	var full error
	for i := 0; full == nil && i < 1000; i++ {
		id, text := fmt.Sprint("big-", i), strings.Repeat("b", 30_000)
		if full = try(id, text); full == nil {
			want[id] = text
		}
	}
	again := try("small", "s")
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit)
	if full == nil || !strings.Contains(full.Error(), syscall.EFBIG.Error()) {
		t.Fatalf("a file that must not grow: %v", full)
	}
	if again == nil {
		want["small"] = "s"
	}
	if err := try("after", "a"); err != nil {
		t.Fatalf("with room again: %v", err)
	}
	want["after"] = "a"
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := contents(path); err != nil || !maps.Equal(got, want) || failed < 30 {
		t.Errorf("%v; %d jobs, want %d; %d writes failed", err, len(got), len(want), failed)
	}
}
