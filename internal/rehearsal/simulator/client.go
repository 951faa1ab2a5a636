package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

var _ dispatch.FrontEnd = (*dispatcher)(nil)

// minClientBackoff is the shortest wait of a client between two attempts.
const minClientBackoff = 10 * time.Millisecond

// request is one request of a client, with all the attempts that the client makes for it.
type request struct {
	id           string
	class        int
	work         time.Duration
	arrivedAt    time.Duration
	outcome      dispatch.Outcome
	answeredAt   time.Duration // 0 while it is unanswered
	attemptsLeft int
}

// finish records the outcome of the request and the time of its final answer.
func (r *request) finish(outcome dispatch.Outcome, at time.Duration) {
	r.outcome = outcome
	r.answeredAt = at
}

// arrivalGenerator generates the requests of one dispatcher's clients. The load is an open loop: requests arrive
// whether or not earlier ones are answered.
type arrivalGenerator struct {
	dispatcher *dispatcher
	random     *rand.Rand
	meanRate   float64 // requests per second
	count      int     // requests generated so far
}

// startArrivals starts the clients of the dispatcher.
func (d *dispatcher) startArrivals() {
	scenario := &d.simulation.scenario
	generator := &arrivalGenerator{
		dispatcher: d,
		random:     d.simulation.randomStream(fmt.Sprint("arrivals ", d.number)),
		meanRate:   scenario.Load.Rate / float64(scenario.Dispatchers),
	}
	generator.scheduleNext(generator.meanRate)
}

// scheduleNext schedules the next request of a Poisson process with the given rate, in requests per second.
func (a *arrivalGenerator) scheduleNext(rate float64) {
	interval := time.Duration(a.random.ExpFloat64() / rate * float64(time.Second))
	a.dispatcher.simulation.scheduleAfter(interval, a.arrive)
}

// arrive submits a request and schedules the next, until the end of the run.
func (a *arrivalGenerator) arrive() {
	simulation := a.dispatcher.simulation
	elapsed := simulation.now - runStart
	if elapsed >= seconds(simulation.scenario.LengthS) {
		return
	}
	arrived := a.newRequest()
	simulation.requests = append(simulation.requests, arrived)
	simulation.workByRequest[arrived.id] = arrived.work
	a.dispatcher.submit(arrived)
	a.scheduleNext(simulation.scenario.rateAt(elapsed, a.meanRate))
}

// newRequest draws the class and the work of a request, in this order.
func (a *arrivalGenerator) newRequest() *request {
	simulation := a.dispatcher.simulation
	a.count++
	drawn := &request{
		id:           fmt.Sprintf("%d-%d", a.dispatcher.number, a.count),
		class:        simulation.scenario.classAt(a.random.Float64()),
		arrivedAt:    simulation.now,
		attemptsLeft: simulation.scenario.Load.MaxAttempts,
	}
	drawn.work = simulation.scenario.Classes[drawn.class].drawWork(a.random)
	return drawn
}

// submit sends a client's next attempt to the dispatcher. It sends nothing once the request is past its deadline, and
// the request fails if the dispatcher is down.
func (d *dispatcher) submit(submitted *request) {
	simulation := d.simulation
	submitted.attemptsLeft--
	deadline := simulation.settings.Classes[submitted.class].Deadline
	timeLeft := deadline - (simulation.now - submitted.arrivedAt)
	if timeLeft <= 0 {
		return
	}
	if d.down { // the connection is refused
		submitted.finish(dispatch.Failed, simulation.now)
		return
	}
	d.lastToken++
	d.unanswered[d.lastToken] = submitted
	id := submitted.id
	attemptNumber := simulation.scenario.Load.MaxAttempts - submitted.attemptsLeft
	if attemptNumber > 1 {
		id = fmt.Sprintf("%s~%d", submitted.id, attemptNumber)
	}
	workHint := submitted.work
	if simulation.scenario.Load.NoHints {
		workHint = 0
	}
	d.core.Accept(d, d.lastToken, dispatch.Request{
		ID:          id,
		Class:       submitted.class,
		Key:         submitted.id,
		Work:        workHint,
		TimeLeft:    timeLeft,
		ReceivedAt:  simulation.now,
		ClientRetry: attemptNumber > 1,
	})
	d.scheduleTurn()
}

// Respond receives the final answer to an attempt of a client. A rejected client retries after the answer's Retry-After
// as long as it has attempts and time left.
func (d *dispatcher) Respond(token uint64, response dispatch.Response) {
	simulation := d.simulation
	answered := d.unanswered[token]
	if answered == nil {
		simulation.reportViolation("a second answer to a request, or an answer to none: token %d of dispatcher %d", token, d.number)
		return
	}
	delete(d.unanswered, token)
	deadline := answered.arrivedAt + simulation.settings.Classes[answered.class].Deadline
	canRetry := answered.attemptsLeft > 0 && simulation.now+response.RetryAfter < deadline
	if response.Outcome == dispatch.Rejected && canRetry {
		simulation.scheduleAfter(max(response.RetryAfter, minClientBackoff), func() { d.submit(answered) })
		return
	}
	answered.finish(response.Outcome, simulation.now)
}
