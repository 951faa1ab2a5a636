package dispatch

import (
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// requestModel is both the front end and the worker client of one Dispatcher. It tracks the requests and attempts, and
// checks the calls of the Dispatcher against them.
type requestModel struct {
	t            *testing.T
	now          time.Duration // the loop's clock
	dispatcher   *Dispatcher
	requests     []*modelRequest          // by token
	attempts     map[uint64]*modelRequest // in flight, by handle
	order        []uint64                 // handles of the attempts in flight, in the order of Start
	workerStates map[string]decision.WorkerState
}

type modelRequest struct {
	handle    uint64
	class     int
	responses int
	cancelled bool // by the client, before it got a response
	ran       int  // attempts that have ended and may have run
	inFlight  int
	released  int // calls of Request.Release
}

func (r *modelRequest) mayHaveRun() bool { return r.ran+r.inFlight > 0 }

const (
	idempotentClass    = 0
	nonIdempotentClass = 1
)

// newRequestModel returns a model with a Dispatcher that has two running workers.
func newRequestModel(t *testing.T, cancellation bool) *requestModel {
	m := &requestModel{
		t:            t,
		now:          time.Hour,
		attempts:     map[uint64]*modelRequest{},
		workerStates: map[string]decision.WorkerState{},
	}
	m.dispatcher = newTestDispatcher(t, eventloop.NewVirtual(func() time.Duration { return m.now }), decision.Settings{
		Classes: []decision.Class{
			idempotentClass: {
				PriorityWeight:   3,
				LateWeight:       0.25,
				LatencyObjective: 300 * time.Millisecond,
				Deadline:         2 * time.Second,
			},
			nonIdempotentClass: {
				PriorityWeight:   5,
				LateWeight:       0.5,
				LatencyObjective: 300 * time.Millisecond,
				Deadline:         3 * time.Second,
				Idempotency:      decision.NonIdempotent,
			},
		},
		Tick:             time.Millisecond,
		MaxAttempts:      3,
		Hedging:          true,
		Cancellation:     cancellation,
		StartNotices:     true,
		ProgressInterval: 100 * time.Millisecond,
		ConnectTimeout:   50 * time.Millisecond,
		MaxRetryAfter:    time.Second,
	})
	m.dispatcher.AddSource(m)
	m.setWorker("a", decision.Running)
	m.setWorker("b", decision.Running)
	return m
}

// Respond checks a response against the state of the request.
func (m *requestModel) Respond(token uint64, response Response) {
	r := m.requests[token]
	r.responses++
	if r.responses > 1 || r.cancelled {
		m.t.Fatalf("request %d: %d responses, cancelled: %v", token, r.responses, r.cancelled)
	}
	if response.Outcome == Rejected && r.class == nonIdempotentClass && r.mayHaveRun() {
		m.t.Fatalf("request %d: rejected though it may have run", token)
	}
	if response.MayHaveRun != r.mayHaveRun() {
		m.t.Fatalf("request %d: may have run: %v, but %d ran and %d are in flight",
			token, response.MayHaveRun, r.ran, r.inFlight)
	}
}

// Start checks an attempt against the state of its worker and of its request.
func (m *requestModel) Start(attempt Attempt) {
	r := m.requests[attempt.Request.Body[0]]
	if m.workerStates[attempt.Worker] != decision.Running {
		m.t.Fatalf("attempt started at %s, which is %v", attempt.Worker, m.workerStates[attempt.Worker])
	}
	if r.class == nonIdempotentClass && r.mayHaveRun() {
		m.t.Fatalf("non-idempotent request retried: %d attempts ran, %d are in flight", r.ran, r.inFlight)
	}
	if r.responses > 0 || r.cancelled || r.released > 0 {
		m.t.Fatalf("attempt started for a request that was answered, cancelled or released")
	}
	r.inFlight++
	m.attempts[attempt.Handle] = r
	m.order = append(m.order, attempt.Handle)
}

// remove removes an attempt from those in flight.
func (m *requestModel) remove(handle uint64) *modelRequest {
	r := m.attempts[handle]
	delete(m.attempts, handle)
	m.order = slices.DeleteFunc(m.order, func(h uint64) bool { return h == handle })
	r.inFlight--
	return r
}

// Cancel ends an attempt. It returns true, as for an attempt that was not sent, for a third of the handles.
func (m *requestModel) Cancel(handle uint64) bool {
	r := m.remove(handle)
	if handle%3 == 0 {
		return true // the attempt had not been sent, so that it never ran
	}
	r.ran++
	return false
}

func (m *requestModel) CloseIdle(string)   {}
func (m *requestModel) CheckHealth(string) {}
func (m *requestModel) Subscribe()         {}

// accept submits a request whose class, time left and work depend on x.
func (m *requestModel) accept(x int) {
	r := &modelRequest{class: x % 2}
	token := len(m.requests)
	m.requests = append(m.requests, r)
	r.handle = m.dispatcher.Accept(m, uint64(token), Request{
		Class:    x % 2,
		Body:     []byte{byte(token)},
		TimeLeft: time.Duration(x) * 20 * time.Millisecond,
		Work:     time.Duration(x%7) * 10 * time.Millisecond,
		Release:  func() { r.released++ },
	})
}

func (m *requestModel) cancelRequest(r *modelRequest) {
	r.cancelled = r.cancelled || r.responses == 0
	m.dispatcher.Cancel(r.handle)
}

// endAttempt reports the end of an attempt twice. The second report must have no effect.
func (m *requestModel) endAttempt(handle uint64, outcome decision.AttemptOutcome) {
	r := m.remove(handle)
	if outcome != decision.Saturated && outcome != decision.ConnectionRefused {
		r.ran++
	}
	m.dispatcher.AttemptEnded(handle, outcome, decision.LoadReport{}, nil)
	m.dispatcher.AttemptEnded(handle, decision.Completed, decision.LoadReport{}, nil)
}

func (m *requestModel) setWorker(name string, state decision.WorkerState) {
	m.workerStates[name] = state
	m.dispatcher.UpdateWorkers(m, decision.ListDelta, []decision.Endpoint{{Name: name, State: state}})
}

func (m *requestModel) advance(milliseconds int) {
	m.now += time.Duration(milliseconds) * time.Millisecond
	m.dispatcher.Loop.RunOnce()
}

// maxModelRequests bounds the number of requests of one run, so that a request's token fits in a byte.
const maxModelRequests = 201

// Operations of step. The fuzzer's seeds contain these numbers. A number that is missing here means the same operation
// as the number before it, so that the fuzzer chooses that operation more often.
const (
	opAccept     = 0
	opEndAttempt = 1
	opProgress   = 3
	opCancel     = 4
	opSetWorker  = 6
	opListFailed = 7
	opAdvance    = 8
	operations   = 10
)

// endOutcomes are the outcomes with which step ends attempts.
var endOutcomes = []decision.AttemptOutcome{
	decision.Completed,
	decision.Failed,
	decision.Saturated,
	decision.TimedOut,
	decision.ConnectionRefused,
	decision.ConnectionLost,
	decision.InvalidRequest,
}

// step executes the operation that one pair of the fuzzer's bytes stands for: the first selects the operation, x its
// object or argument.
func (m *requestModel) step(operation byte, x int) {
	switch operation % operations {
	case opAccept:
		if len(m.requests) < maxModelRequests {
			m.accept(x)
		}
	case opEndAttempt, opEndAttempt + 1:
		if len(m.order) > 0 {
			handle := m.order[x/8%len(m.order)]
			m.endAttempt(handle, endOutcomes[x%len(endOutcomes)])
		}
	case opProgress:
		if len(m.order) > 0 {
			handle := m.order[x%len(m.order)]
			m.dispatcher.AttemptStarted(handle)
			m.dispatcher.AttemptProgressed(handle, float64(x)/255)
		}
	case opCancel, opCancel + 1:
		if len(m.requests) > 0 {
			m.cancelRequest(m.requests[x%len(m.requests)])
		}
	case opSetWorker:
		m.setWorker([]string{"a", "b", "c"}[x%3], decision.WorkerState(x/3%3))
	case opListFailed:
		m.dispatcher.UpdateWorkers(m, decision.ListFailed, nil)
	case opAdvance, opAdvance + 1:
		m.advance(x * 4)
	}
}

// finish lets all deadlines pass, ends the attempts that are still in flight and checks that no request or attempt
// remains.
func (m *requestModel) finish() {
	for range 8 {
		m.advance(1000)
	}
	for len(m.order) > 0 {
		m.endAttempt(m.order[0], decision.ConnectionLost)
	}
	for i, r := range m.requests {
		if r.responses == 0 != r.cancelled || r.released != 1 {
			m.t.Fatalf("request %d: %d responses, cancelled: %v, released %d times", i, r.responses, r.cancelled, r.released)
		}
	}
	d := m.dispatcher
	counts := d.Counts()
	if d.Unanswered() != 0 || d.requests.Len() != 0 || d.attempts.Len() != 0 ||
		counts.Accepted != counts.Served+counts.Rejected+counts.Failed+counts.Cancelled {
		m.t.Fatalf("%d unanswered, %d requests, %d attempts, counts %+v",
			d.Unanswered(), d.requests.Len(), d.attempts.Len(), counts)
	}
}
