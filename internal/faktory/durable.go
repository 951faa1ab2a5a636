package faktory

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

const (
	// releaseTimeout is how long a release waits for commands whose changes are
	// not on disk yet, before it closes their connections.
	releaseTimeout = time.Second

	// releasePollInterval is how often a release looks for such connections.
	releasePollInterval = 5 * time.Millisecond
)

// durableQueues is the durable side of a server: the service that stores jobs,
// and the scheduler that assigns them to free slots. No answer says +OK to a
// change before it is on disk, and no worker's report counts for the lease of
// another.
type durableQueues struct {
	*durable.Service
	scheduler    *durable.Scheduler
	classes      []bool // by class number: whether it is durable
	flushAllowed bool
	progress     map[string]jobProgress // by jid
	parkCount    uint64                 // FETCHes parked so far
}

var _ durable.Workers = (*Server)(nil)

// EnableDurable makes the queues that config names durable, and starts the
// service once the loop runs. It must be called before Listen.
func (s *Server) EnableDurable(config Durable) error {
	log := config.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	service, err := durable.Open(s.dispatcher.Loop, config.serviceConfig(), log)
	if err != nil {
		return fmt.Errorf("durable.path: %w", err)
	}
	s.durable = &durableQueues{
		Service:      service,
		scheduler:    durable.NewScheduler(service, s.dispatcher, s),
		classes:      config.Classes(&s.dispatcher.Settings),
		flushAllowed: config.Flush,
		progress:     map[string]jobProgress{},
	}
	service.OnLeaseExpired = func(job jobs.Job) { s.endLease(job.ID, job.Fence, decision.TimedOut) }
	s.dispatcher.Loop.Post(service.Start)
	return nil
}

// isDurable reports whether the queue of a class is durable.
func (s *Server) isDurable(class int) bool { return s.durable != nil && s.durable.classes[class] }

// classNumbers returns the durable classes.
func (q *durableQueues) classNumbers() (classes []int) {
	for class, isDurable := range q.classes {
		if isDurable {
			classes = append(classes, class)
		}
	}
	return classes
}

// Request turns a stored job into a request for the dispatcher.
func (s *Server) Request(job jobs.Job) (dispatch.Request, error) {
	stored, isRequest := durable.ReadRequest(job)
	if !isRequest {
		request, _, err := parseJob(job.Payload, s.classNumbers, s.dispatcher.Loop.Now())
		return request, err
	}
	class, known := s.classNumbers[job.Class]
	if !known {
		return dispatch.Request{}, errUnknownClass
	}
	return dispatch.Request{
		ID:             job.ID,
		Class:          class,
		Target:         stored.Target,
		Key:            stored.Key,
		IdempotencyKey: stored.IdempotencyKey,
		Body:           stored.Body,
		Slots:          stored.Slots,
		Work:           stored.Work,
	}, nil
}

// Guarantee returns what a worker has promised. Workers of other front ends
// promise nothing.
func (s *Server) Guarantee(workerName string) jobs.Guarantee {
	if worker := s.workers[workerName]; worker != nil {
		return worker.guarantee
	}
	return jobs.NoGuarantee
}

// SendsHeartbeats reports whether a worker renews its leases itself, as those
// of this front end do.
func (s *Server) SendsHeartbeats(workerName string) bool { return s.workers[workerName] != nil }

// storeJob stores a job and calls onStored once it is on disk, or with the
// error that its producer gets.
func (c *connection) storeJob(request dispatch.Request, raw []byte, payload *work, onStored func(error)) {
	server := c.server
	class := &server.dispatcher.Settings.Classes[request.Class]
	job := durableJob(raw, request.ID, payload, class)
	server.durable.Push(job, payload.scheduledAt, func(err error) {
		switch {
		case err == nil:
			onStored(nil)
		case errors.Is(err, jobs.ErrIDConflict):
			onStored(fmt.Errorf("NOTUNIQUE %w", err))
		default:
			onStored(fmt.Errorf("REFUSED %w; pushing it again is harmless", err))
		}
	})
}

// deferReply makes the connection wait for the answer to its command. The
// answer is sent by reply, unless the connection is closed by then.
func (c *connection) deferReply() (reply func(line string)) {
	c.busy = true
	c.server.dispatcher.Loop.Clear(&c.deadline)
	return func(line string) {
		if c.closed {
			return
		}
		c.writeLine(line)
		c.resume()
	}
}

// moveAll moves the jobs that match, and returns the last error of those that
// cannot be moved.
func (q *durableQueues) moveAll(move jobs.Move, reason jobs.Reason, matches func(jobs.Job) bool) (lastError error) {
	var jids []string
	q.Each(func(job jobs.Job) {
		if matches(job) {
			jids = append(jids, job.ID)
		}
	})
	for _, jid := range jids {
		err := q.Move(jid, move, reason, false)
		if err != nil {
			lastError = err
		}
	}
	return lastError
}

// releaseDurable closes all connections, each once its command is answered,
// and then the store, and calls done. Workers reconnect to the successor with
// the jobs that they hold.
func (s *Server) releaseDurable(done func()) {
	s.acceptor.Close()
	s.durable.scheduler.Release()
	limit := s.dispatcher.Loop.Now() + releaseTimeout
	s.continueRelease(limit, done)
}

// continueRelease closes the connections that can be closed by now, and continues
// later if some are left.
func (s *Server) continueRelease(limit time.Duration, done func()) {
	loop := s.dispatcher.Loop
	late := loop.Now() >= limit
	s.connections.ForEach(func(_ uint64, c *connection) {
		switch {
		case c.parked:
			c.writeLine(nullBulk)
			c.closeGracefully()
		case !c.busy, late:
			c.closeGracefully()
		}
	})
	if s.connections.Len() > 0 {
		loop.After(releasePollInterval, func() { s.continueRelease(limit, done) })
		return
	}
	err := s.durable.Service.Close()
	if err != nil {
		s.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	done()
}
