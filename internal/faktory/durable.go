package faktory

import (
	"fmt"
	"log/slog"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// durableQueues holds the state of a server with durable queues: the service that
// stores jobs, and the scheduler that assigns them to free slots. A change is
// answered with +OK only once it is on disk, and a worker can only report about
// its own leases.
type durableQueues struct {
	*durable.Service
	scheduler    *durable.Scheduler
	classes      []bool // by class index: whether it is durable
	flushAllowed bool
	progress     map[string]jobProgress // by jid
	parkCount    uint64                 // number of FETCHes parked so far
}

var _ durable.Workers = (*Server)(nil)

// EnableDurable makes the queues in config durable. It opens their store, and
// starts the service once the loop runs. It must be called before Listen.
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
	service.OnLeaseExpired = func(job jobs.Job) { s.endAttemptUnderLease(job.ID, job.Fence, decision.TimedOut) }
	s.dispatcher.Loop.Post(service.Start)
	return nil
}

// isDurable reports whether the queue of a class is durable.
func (s *Server) isDurable(class int) bool { return s.durable != nil && s.durable.classes[class] }

// allClasses returns the indexes of the durable classes.
func (q *durableQueues) allClasses() (classes []int) {
	for class, isDurable := range q.classes {
		if isDurable {
			classes = append(classes, class)
		}
	}
	return classes
}

// Request converts a stored job to a request for the dispatcher.
func (s *Server) Request(job jobs.Job) (dispatch.Request, error) {
	stored, isRequest := durable.ReadRequest(job)
	if !isRequest {
		parsed, err := parseJob(job.Payload, s.classIndexes, s.dispatcher.Loop.Now())
		return parsed.request, err
	}
	class, known := s.classIndexes[job.Class]
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

// Guarantee returns the guarantee of a worker. Workers of other front ends have
// none.
func (s *Server) Guarantee(workerName string) jobs.Guarantee {
	if worker := s.workers[workerName]; worker != nil {
		return worker.guarantee
	}
	return jobs.NoGuarantee
}

// SendsHeartbeats reports whether a worker renews its leases itself, as those
// of this front end do.
func (s *Server) SendsHeartbeats(workerName string) bool { return s.workers[workerName] != nil }
