package durable

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// A producer whose push was rejected, since the disk was full, pushes the job again at once, from within the rejection.
// The second push was rejected with the first, though its write was on its way: the job was stored, and run, for a
// producer that had heard that it was not. The cause: the rejection went on until no producer of that ID waited, and so
// took in those who came while it was under way (second push "not kept: no space left on device", job announced as
// runnable).
func TestPushAgainFromWithinItsRejection(t *testing.T) {
	var diskFull atomic.Bool
	writeError := func() error {
		if diskFull.Load() {
			return syscall.ENOSPC
		}
		return nil
	}
	config := Config{Path: filepath.Join(t.TempDir(), "jobs.db"), Store: store.Options{InjectWriteError: writeError}}
	s := openTest(t, config)
	defer s.close()
	job := jobs.Job{ID: "r", Class: "renewal", NonIdempotent: true}
	diskFull.Store(true)
	first := make(chan error, 1)
	second := make(chan error, 1)
	s.onLoop(func() {
		s.service.Push(job, 0, func(err error) {
			diskFull.Store(false)
			first <- err
			s.service.Push(job, 0, func(err error) { second <- err })
		})
	})
	if err := receive(t, "the answer to the first push", first); err == nil {
		t.Fatal("the first push was accepted on a full disk")
	}
	err := receive(t, "the answer to the second push", second)
	stored := receive(t, "the job", s.runnable).ID == "r"
	if err != nil && stored {
		t.Errorf("the second push was rejected with %v, and its job was stored", err)
	}
}
