package durable

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// A push is rejected since the disk is full, and the producer pushes the job again from within the callback of the
// rejection. The second push must get its own answer. If the rejection goes on until no producer of that id is waiting,
// it rejects the second push too, whose write is already queued: the job is stored and run although its producer was
// told that it was not stored.
func TestPushDuringRejection(t *testing.T) {
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
