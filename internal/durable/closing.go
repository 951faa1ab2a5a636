package durable

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// The errors of calls that a Service cannot complete since it closes. The texts reach clients and operators.
var (
	// ErrClosing is the error of a call that nothing was changed for: the process gives up the store. It is also the
	// error of Watch for a job that is stored and not final; the next process that opens the store continues the job.
	ErrClosing = errors.New("this process is giving up the store")
	// ErrUnconfirmed is the error of a call whose change the store had not confirmed when the service had to answer: it
	// may be stored or not. A caller that repeats the call at the next process learns which.
	ErrUnconfirmed = errors.New("the store has not confirmed it")
)

// errNotStoredByClose is the error of a change that is not in the store, and never will be.
var errNotStoredByClose error = &jobs.NotStoredError{Cause: ErrClosing}

// closePhase is a phase in the closing of a Service.
type closePhase uint8

const (
	notClosing    closePhase = iota
	storingLast              // only reports are accepted, and the changes that were made are being stored
	closingFile              // nothing is accepted, and the store's file is being closed
	fileClosed               // the next process may open the file
	fileAbandoned            // CloseNow has been called
)

// closeState is the progress of Close.
type closeState struct {
	phase       closePhase
	answerTimer eventloop.Deadline // when all calls that are still open are answered
	onClosed    func(error)
}

// IsOpen reports whether the service accepts changes. Jobs that it lists otherwise may be out of date.
func (s *Service) IsOpen() bool { return s.closing.phase == notClosing }

// acceptsReports reports whether a worker's report can still be stored.
func (s *Service) acceptsReports() bool { return s.closing.phase <= storingLast }

// Close stores all changes that have been made and then closes the file, while the loop runs. It calls onClosed once
// the next process may open the file, with the error of closing it. Until all changes are stored, further reports of
// workers are accepted; all other changes are rejected. Each call that is open is answered before onClosed is called,
// and at the loop time answerBy at the latest, even if the store has not confirmed its change by then.
func (s *Service) Close(answerBy time.Duration, onClosed func(error)) {
	if !s.IsOpen() {
		s.loop.Post(func() { onClosed(ErrClosing) })
		return
	}
	s.closing.phase = storingLast
	s.closing.onClosed = onClosed
	s.loop.Clear(&s.dueTimer)
	s.loop.Set(&s.closing.answerTimer, answerBy)
	s.closeFileWhenStored()
}

// closeFileWhenStored begins to close the file if the service closes and all changes are on disk.
func (s *Service) closeFileWhenStored() {
	if s.closing.phase == storingLast && len(s.unstored) == 0 {
		s.closeFile()
	}
}

// giveUpWaiting answers all open calls, since the time for that has come, and begins to close the file.
func (s *Service) giveUpWaiting() {
	s.log.Error("the store has not confirmed all changes in time", "jobs", len(s.unstored))
	s.calls.answerAll(ErrUnconfirmed)
	if s.closing.phase == storingLast {
		s.closeFile()
	}
}

// closeFile closes the file on another goroutine, because a slow disk must not block the loop. Audits that could not be
// stored with their change are written last.
func (s *Service) closeFile() {
	s.closing.phase = closingFile
	if len(s.pendingAudits) > 0 {
		s.store.Put(s.pendingAudits, ignoreResult)
	}
	go func() {
		s.snapshots.Wait()
		err := s.store.Close()
		s.loop.Post(func() { s.fileClosed(err) }) // after the results of all writes and snapshots, which are posted before
	}()
}

// fileClosed is called when the file is closed. What is not on disk by now will never be.
func (s *Service) fileClosed(err error) {
	s.closing.phase = fileClosed
	s.loop.Clear(&s.closing.answerTimer)
	s.calls.answerAll(errNotStoredByClose)
	s.closing.onClosed(err)
}

// CloseNow waits until all changes that were passed to the store are on disk or have failed, and closes the file. It is
// for a service whose loop does not run: calls that are open are answered with ErrUnconfirmed. It does nothing after
// Close or another CloseNow.
func (s *Service) CloseNow() error {
	if !s.IsOpen() {
		return nil
	}
	s.closing.phase = fileAbandoned
	s.loop.Clear(&s.dueTimer)
	err := s.store.Close()
	s.calls.answerAll(ErrUnconfirmed)
	return err
}
