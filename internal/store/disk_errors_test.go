package store

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// diskErrorsChild is set in the environment of the process in which TestDiskErrors does its work.
const diskErrorsChild = "STORE_DISK_ERRORS_CHILD"

// Errors of the system at real writes: the file cannot be written to for a while, or cannot grow. The changes that meet
// them are rejected and leave nothing behind, and the store goes on. This runs in a child process, as the limit on file
// sizes holds for a whole process and would also meet the log that go test has it write.
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
	path := filepath.Join(t.TempDir(), "jobs.db")
	s, err := Open(path, Options{GroupCommitDelay: time.Microsecond})
	if err != nil {
		t.Fatal(err)
	}
	try := func(id, text string) error {
		result := make(chan error, 1)
		s.Put([]Record{{id, text}}, func(err error) { result <- err })
		return <-result
	}
	descriptor := descriptorOf(path)
	writable, err := syscall.Dup(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(writable)
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
		readOnly := random.IntN(3) == 0
		if readOnly { // the system rejects each write
			syscall.Dup3(int(reader.Fd()), descriptor, syscall.O_CLOEXEC)
		}
		err := try(id, text)
		syscall.Dup3(writable, descriptor, syscall.O_CLOEXEC)
		if (err != nil) != readOnly {
			t.Fatalf("%d: read-only %v, and the result is %v", i, readOnly, err)
		}
		if readOnly {
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
	afterFull := try("small", "s")
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit)
	if full == nil || !strings.Contains(full.Error(), syscall.EFBIG.Error()) {
		t.Fatalf("a file that must not grow: %v", full)
	}
	if afterFull == nil {
		want["small"] = "s"
	}
	if err := try("after", "a"); err != nil {
		t.Fatalf("with space again: %v", err)
	}
	want["after"] = "a"
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := contents(path); err != nil || !maps.Equal(got, want) || failed < 30 {
		t.Errorf("%v; %d jobs, want %d; %d writes failed", err, len(got), len(want), failed)
	}
}

// descriptorOf is the descriptor that this process has of a file; -1: none.
func descriptorOf(path string) int {
	descriptor := -1
	list, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range list {
		if target, _ := os.Readlink("/proc/self/fd/" + entry.Name()); target == path {
			fmt.Sscan(entry.Name(), &descriptor)
		}
	}
	return descriptor
}
