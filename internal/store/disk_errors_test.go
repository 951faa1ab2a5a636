package store

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// diskErrorsChild is set in the environment of the child process in which TestDiskErrors runs its checks.
const diskErrorsChild = "STORE_DISK_ERRORS_CHILD"

// The system rejects real writes: the file cannot be written to for a while, or cannot grow. Changes during that time are
// rejected and leave no record, and the store then stores later ones. The test runs in a child process, as the limit on
// file sizes applies to a whole process, and thus also to the log that it writes for go test.
func TestDiskErrors(t *testing.T) {
	if os.Getenv(diskErrorsChild) != "" {
		testDiskErrors(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestDiskErrors$", "-test.v")
	child.Env = append(os.Environ(), diskErrorsChild+"=1")
	output, err := child.CombinedOutput()
	if err != nil || !strings.Contains(string(output), "--- PASS: TestDiskErrors") {
		t.Fatalf("%v:\n%s", err, output)
	}
}

func testDiskErrors(t *testing.T) {
	run := newDiskErrorsRun(t)
	run.writeWithErrors()
	run.writeAtSizeLimit()
	run.checkContents()
}

// diskErrorsRun writes records to a store while the system rejects some of the writes.
type diskErrorsRun struct {
	t            *testing.T
	path         string
	store        *Store
	descriptor   int               // of the store's file
	writable     int               // a duplicate of descriptor
	readOnly     int               // another descriptor of the file, opened for reading only
	want         map[string]string // the values that have been reported as stored, by id
	failedWrites int
}

func newDiskErrorsRun(t *testing.T) *diskErrorsRun {
	path := newPath(t)
	store, err := Open(path, Options{GroupCommitDelay: time.Microsecond})
	if err != nil {
		t.Fatal(err)
	}
	descriptor := descriptorOf(path)
	writable, err := syscall.Dup(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(writable) })
	reader, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reader.Close() })
	return &diskErrorsRun{
		t:          t,
		path:       path,
		store:      store,
		descriptor: descriptor,
		writable:   writable,
		readOnly:   int(reader.Fd()),
		want:       map[string]string{},
	}
}

// put stores a record and, if that succeeds, adds it to what the store must hold.
func (r *diskErrorsRun) put(id, text string) error {
	err := put(r.store, Record{id, text})
	if err == nil {
		r.want[id] = text
	}
	return err
}

// putReadOnly stores a record while the system rejects each write of the store.
func (r *diskErrorsRun) putReadOnly(id, text string) error {
	syscall.Dup3(r.readOnly, r.descriptor, syscall.O_CLOEXEC)
	err := r.put(id, text)
	syscall.Dup3(r.writable, r.descriptor, syscall.O_CLOEXEC)
	return err
}

// writeWithErrors writes records; the system rejects the writes of a third of them.
func (r *diskErrorsRun) writeWithErrors() {
	random := rand.New(rand.NewPCG(3, 3))
	for i := range 200 {
		id := fmt.Sprint("job-", random.IntN(40))
		text := strings.Repeat("z", random.IntN(3000))
		readOnly := random.IntN(3) == 0
		write := r.put
		if readOnly {
			write = r.putReadOnly
			r.failedWrites++
		}
		err := write(id, text)
		if (err != nil) != readOnly {
			r.t.Fatalf("%d: read-only %v, and the result is %v", i, readOnly, err)
		}
	}
}

// writeAtSizeLimit writes records until the file cannot grow, and another one without the limit.
func (r *diskErrorsRun) writeAtSizeLimit() {
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var limit syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit)
	info, err := os.Stat(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	tightLimit := limit
	tightLimit.Cur = uint64(info.Size())
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &tightLimit); err != nil {
		r.t.Fatal(err)
	}
	var fileFull error
	for i := 0; fileFull == nil && i < 1000; i++ {
		fileFull = r.put(fmt.Sprint("big-", i), strings.Repeat("b", 30_000))
	}
	r.put("small", "s") // this one may still fit
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit)
	if fileFull == nil || !strings.Contains(fileFull.Error(), syscall.EFBIG.Error()) {
		r.t.Fatalf("writing to a file that cannot grow: %v", fileFull)
	}
	if err := r.put("after", "a"); err != nil {
		r.t.Fatalf("after the limit was lifted: %v", err)
	}
}

// checkContents checks that the file holds what was reported as stored, and nothing else.
func (r *diskErrorsRun) checkContents() {
	if err := r.store.Close(); err != nil {
		r.t.Fatal(err)
	}
	got, err := contents(r.path)
	if err != nil || !maps.Equal(got, r.want) || r.failedWrites < 30 {
		r.t.Errorf("%v; %d jobs, want %d; %d writes failed", err, len(got), len(r.want), r.failedWrites)
	}
}

// descriptorOf returns the descriptor of this process for a file, or -1 if there is none.
func descriptorOf(path string) int {
	descriptor := -1
	open, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range open {
		target, _ := os.Readlink("/proc/self/fd/" + entry.Name())
		if target == path {
			fmt.Sscan(entry.Name(), &descriptor)
		}
	}
	return descriptor
}
