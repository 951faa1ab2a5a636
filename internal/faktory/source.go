package faktory

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Source is the source role: it fetches jobs from an upstream server over lanes,
// one job at a time on each, and closes each delivery once by ACK or FAIL. A job
// whose jid is known does not run again. Its methods must be called on the loop's
// goroutine.
type Source struct {
	dispatcher   *dispatch.Dispatcher
	engine       *transport.Engine
	config       Config
	classIndexes map[string]int // by name
	wid          string
	fetchCommand string
	lanes        []*lane // by number; the first is the heartbeatLane
	jids         *jidMemory
	draining     bool // no more jobs are fetched
	rejectsJobs  bool // jobs that upstream still delivers do not run
}

// NewSource returns the source role. Start connects its lanes.
func NewSource(dispatcher *dispatch.Dispatcher, engine *transport.Engine, config Config, jids *jidMemory) *Source {
	source := &Source{
		dispatcher:   dispatcher,
		engine:       engine,
		config:       config,
		classIndexes: durable.ClassIndexes(&dispatcher.Settings),
		wid:          config.Source.Wid,
		fetchCommand: commandFetch + " " + strings.Join(config.Source.Queues, " "),
		jids:         jids,
	}
	if source.wid == "" {
		source.wid = fmt.Sprintf("hollyyoke-%016x", rand.Uint64())
	}
	for number := range config.Source.Lanes + 1 {
		added := &lane{source: source, number: number}
		added.input.pool = &engine.Pool
		added.deadline.Fire = added.onDeadline
		source.lanes = append(source.lanes, added)
	}
	return source
}

// Start connects all lanes.
func (s *Source) Start() {
	for _, l := range s.lanes {
		l.connect()
	}
}

// Stop stops fetching jobs. Jobs in progress continue.
func (s *Source) Stop() { s.draining = true }

// StopAccepting makes the source send back the jobs that upstream still delivers, in reply
// to an earlier FETCH, without running them. Those that the loop has read are accepted.
func (s *Source) StopAccepting() {
	s.dispatcher.Loop.Post(func() { s.rejectsJobs = true })
}

// Busy returns the number of lanes that have a delivery that is not closed yet, or
// are fetching one.
func (s *Source) Busy() (busy int) {
	for _, l := range s.lanes {
		if l.busy() {
			busy++
		}
	}
	return busy
}

// Close closes all lanes.
func (s *Source) Close() {
	for _, l := range s.lanes {
		l.shutdown()
	}
}

// Respond closes the delivery of a lane with the final result of its job. The
// token is the number of the lane.
func (s *Source) Respond(token uint64, response dispatch.Response) {
	l := s.lanes[token]
	delivery := l.delivery
	idempotency := s.dispatcher.Settings.Classes[delivery.class].Idempotency
	s.jids.finish(delivery.jid, response, idempotency, s.dispatcher.Loop.Now())
	l.closeWith(response)
}
