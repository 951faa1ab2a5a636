package httpfront

import (
	"bytes"
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// This file owns requests with an idempotency key: they are taken on durably, and
// the same key asks for the same run, in this life of the program or the next. It
// must never answer with another request's result, nor say that a job is kept
// before the disk has it.

// SetDurable makes requests durable that bring an Idempotency-Key, where their class
// is. s may be nil for now: then they are turned away until it is there.
func (f *FrontEnd) SetDurable(s *durable.Service, classes []bool) { f.kept, f.keptClasses = s, classes }

const (
	keptMargin = 20 * time.Millisecond // by which the answer leaves before the client gives up
	askAgain   = time.Second           // later, where the job is not over in time
)

// keep takes a request on durably and answers what became of the job under its
// key, or that it is kept, where that is not known before the client gives up.
func (s *clientConnection) keep(m *httpwire.Message, job dispatch.Request, key string) {
	f := s.front
	if f.kept == nil {
		s.cut(m.Size)
		f.dispatcher.CountResponse(job.Class, dispatch.Rejected)
		s.write(503, []byte("the other process has the store\n"), askAgain, "")
		return
	}
	loop, class := f.dispatcher.Loop, f.dispatcher.Settings.Classes[job.Class]
	left := class.Deadline
	if job.TimeLeft > 0 {
		left = min(left, job.TimeLeft)
	}
	r := durable.Request{Target: job.Target, Key: job.Key, Body: bytes.Clone(m.Body), Slots: job.Slots, Work: job.Work}
	j := r.Job(key, class.Name, class.Idempotency != decision.Idempotent)
	s.cut(m.Size)
	s.busy, s.req = true, 0
	s.keeps++
	n := s.keeps
	loop.Clear(&s.idle)
	f.entry.Limiter.RequestComplete(loop.Now(), s.id)
	answer := func(status int, text []byte, after time.Duration) {
		if f.connections.Get(s.token) != s || !s.busy || s.keeps != n {
			return // it has been answered, or nobody waits
		}
		s.busy = false
		s.last = s.last || f.closing
		s.served = status == 200
		s.write(status, text, after, "")
		if (s.paused || s.in != nil) && !s.gone {
			s.turn()
		}
	}
	later := func() {
		answer(202, []byte("the job is kept and not over yet: ask again with the same key\n"), askAgain)
	}
	loop.After(max(job.ReceivedAt+left-keptMargin-loop.Now(), 0), later)
	f.kept.Push(j, 0, func(err error) {
		switch {
		case errors.Is(err, jobs.ErrIDConflict):
			answer(422, []byte("Idempotency-Key belongs to another request\n"), 0)
			return
		case err != nil:
			answer(503, []byte(err.Error()+"\n"), askAgain)
			return
		}
		f.kept.Watch(j.ID, func(j jobs.Job) {
			switch j.State {
			case jobs.Done:
				answer(200, j.Result, 0)
			case jobs.Accepted, jobs.Scheduled, jobs.Ready, jobs.Leased, jobs.Started, jobs.Waiting: // the store goes to a successor
				later()
			case jobs.InDoubt:
				answer(409, []byte("in doubt, an operator settles it: "+string(j.Reason)+"\n"), 0)
			default:
				answer(502, []byte(j.State.String()+": "+string(j.Reason)+"\n"), 0)
			}
		})
	})
}
