package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// An exhaustive explorer of interleavings (model checking): two workers, two non-idempotent jobs, a store that confirms
// writes late, messages that are lost or late, leases that expire, and crashes with and without the writes that had not
// been confirmed. Every interleaving to a depth is tried; a state that was visited before with as many steps left is not
// tried again.

// messageKind is what a message between the machine and a worker says.
type messageKind string

const (
	deliverMessage messageKind = "deliver" // to the worker: a job
	startMessage   messageKind = "start"   // to the machine: may I start it?
	grantMessage   messageKind = "grant"   // to the worker: yes
	ackMessage     messageKind = "ack"     // to the machine: it is done
)

// message is on its way between the machine and a worker.
type message struct {
	kind   messageKind
	worker int
	id     string
	fence  uint64
}

// answer is a message of another kind about the same lease.
func (m message) answer(kind messageKind) message {
	m.kind = kind
	return m
}

// world is a machine with its store, its network and its workers.
type world struct {
	machine       *Machine
	guarantees    [2]Guarantee // by worker
	disk          map[string]Job
	writes        []Job // handed to the store and not confirmed
	network       []message
	held          [2]map[string]uint64 // by worker: the jobs that it may run and has not run yet, with their fences
	runs          map[string]int       // by job
	ranUnrecorded map[string]bool      // run by a worker that does not deduplicate
	acknowledged  map[string]bool      // its producer has heard that it is accepted
	now           time.Duration
	crashesLeft   int
	expiriesLeft  int
	lossesLeft    int
	pushedJobs    []string
}

func newWorld(config Config, guarantees [2]Guarantee) *world {
	return &world{
		machine:       New(config),
		guarantees:    guarantees,
		disk:          map[string]Job{},
		held:          [2]map[string]uint64{{}, {}},
		runs:          map[string]int{},
		ranUnrecorded: map[string]bool{},
		acknowledged:  map[string]bool{},
		crashesLeft:   1,
		expiriesLeft:  2,
		lossesLeft:    1,
		pushedJobs:    []string{"a", "b"},
	}
}

func (w *world) clone() *world {
	clone := *w
	clone.machine = cloneMachine(w.machine)
	clone.disk = maps.Clone(w.disk)
	clone.runs = maps.Clone(w.runs)
	clone.acknowledged = maps.Clone(w.acknowledged)
	clone.ranUnrecorded = maps.Clone(w.ranUnrecorded)
	clone.writes = slices.Clone(w.writes)
	clone.network = slices.Clone(w.network)
	for worker := range clone.held {
		clone.held[worker] = maps.Clone(w.held[worker])
	}
	return &clone
}

// cloneMachine copies a machine but for the order of its jobs, which the explorer does not look at.
func cloneMachine(m *Machine) *Machine {
	clone := *m
	clone.jobs = map[string]*jobEntry{}
	for id, entry := range m.jobs {
		copied := *entry
		copied.afterStore = slices.Clone(entry.afterStore)
		clone.jobs[id] = &copied
	}
	clone.dueQueue = nil
	clone.leasesByWorker = map[string]map[string]*jobEntry{}
	for _, id := range sortedIDs(&clone) {
		clone.index(clone.jobs[id])
	}
	clone.effects = nil
	clone.becameReady = nil
	clone.inOrder = nil
	return &clone
}

func sortedIDs(m *Machine) []string { return slices.Sorted(maps.Keys(m.jobs)) }

// key is equal for equal states.
func (w *world) key() string {
	var key strings.Builder
	fmt.Fprint(&key, w.now, w.crashesLeft, w.expiriesLeft, w.lossesLeft, w.machine.lastFence)
	for _, id := range sortedIDs(w.machine) {
		entry := w.machine.jobs[id]
		fmt.Fprint(&key, entry.Job, entry.storedVersion, len(entry.afterStore))
	}
	network := slices.Clone(w.network)
	slices.SortFunc(network, func(a, b message) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	fmt.Fprint(&key, w.disk, w.writes, network, w.held, w.runs, w.acknowledged)
	return key.String()
}

// carryOut carries out effects.
func (w *world) carryOut(effects []Effect) {
	for _, effect := range effects {
		worker := 0
		if effect.Job.Worker == "w1" {
			worker = 1
		}
		switch effect.Kind {
		case StoreJob:
			w.writes = append(w.writes, effect.Job)
		case AnswerPush:
			w.acknowledged[effect.Job.ID] = w.acknowledged[effect.Job.ID] || effect.Err == nil
		case DeliverJob:
			w.network = append(w.network, message{deliverMessage, worker, effect.Job.ID, effect.Job.Fence})
		case GrantStart:
			w.network = append(w.network, message{grantMessage, worker, effect.Job.ID, effect.Job.Fence})
		}
	}
}

// receive lets a message arrive.
func (w *world) receive(received message) {
	switch received.kind {
	case deliverMessage:
		if w.guarantees[received.worker] == HonorsFences {
			w.network = append(w.network, received.answer(startMessage))
		} else {
			w.held[received.worker][received.id] = received.fence
		}
	case grantMessage:
		w.held[received.worker][received.id] = received.fence
	case startMessage:
		w.receiveStart(received)
	case ackMessage:
		w.carryOut(w.machine.Ack(w.now, received.id, received.fence, nil))
	}
}

// receiveStart lets a worker's request to start a job arrive. A machine that ignores fences grants it to any worker.
func (w *world) receiveStart(request message) {
	effects, err := w.machine.Start(w.now, request.id, request.fence)
	w.carryOut(effects)
	if err != nil || !w.machine.config.ignoreFences {
		return
	}
	if len(effects) == 0 {
		w.network = append(w.network, request.answer(grantMessage))
		return
	}
	for i := range w.network { // without fences the grant goes to the worker that asked
		if w.network[i].kind == grantMessage && w.network[i].id == request.id {
			w.network[i].worker = request.worker
		}
	}
}

// step is one thing that may happen next.
type step func(*world)

// steps are all that may happen next.
func (w *world) steps() (steps []step) {
	steps = append(steps, w.pushSteps()...)
	if len(w.writes) > 0 {
		steps = append(steps, (*world).confirmWrite)
	}
	for _, id := range w.machine.Ready() {
		for worker := range 2 {
			steps = append(steps, func(w *world) { w.assign(id, worker) })
		}
	}
	steps = append(steps, w.networkSteps()...)
	for worker := range w.held {
		for _, id := range slices.Sorted(maps.Keys(w.held[worker])) {
			steps = append(steps, func(w *world) { w.run(worker, id) })
		}
	}
	if w.expiriesLeft > 0 {
		steps = append(steps, (*world).expireLeases)
	}
	if w.crashesLeft > 0 {
		for _, writesSurvive := range []bool{false, true} {
			steps = append(steps, func(w *world) { w.crash(writesSurvive) })
		}
	}
	return steps
}

func (w *world) pushSteps() (steps []step) {
	for _, id := range w.pushedJobs {
		_, known := w.machine.Get(id)
		if !known && !w.acknowledged[id] {
			steps = append(steps, func(w *world) {
				w.carryOut(w.machine.Push(w.now, Job{ID: id, NonIdempotent: true}, 0))
			})
		}
	}
	return steps
}

func (w *world) networkSteps() (steps []step) {
	for i, received := range w.network {
		steps = append(steps, func(w *world) {
			w.network = slices.Delete(slices.Clone(w.network), i, i+1)
			w.receive(received)
		})
		if w.lossesLeft > 0 {
			steps = append(steps, func(w *world) {
				w.lossesLeft--
				w.network = slices.Delete(slices.Clone(w.network), i, i+1)
			})
		}
	}
	return steps
}

func (w *world) confirmWrite() {
	job := w.writes[0]
	w.writes = w.writes[1:]
	w.disk[job.ID] = job
	w.carryOut(w.machine.Stored(w.now, job.ID, job.Version))
}

func (w *world) assign(id string, worker int) {
	w.carryOut(w.machine.Assign(w.now, id, fmt.Sprint("w", worker), w.guarantees[worker]))
}

func (w *world) run(worker int, id string) {
	fence := w.held[worker][id]
	delete(w.held[worker], id)
	deduplicates := w.guarantees[worker] == Deduplicates
	if !deduplicates || w.runs[id] == 0 || w.ranUnrecorded[id] { // else it knows that the job has been run
		w.runs[id]++
		w.ranUnrecorded[id] = !deduplicates
	}
	w.network = append(w.network, message{ackMessage, worker, id, fence})
}

func (w *world) expireLeases() {
	w.expiriesLeft--
	w.now += w.machine.config.LeaseDuration + w.machine.config.RecoveryGrace + 1
	w.carryOut(w.machine.Tick(w.now))
}

func (w *world) crash(writesSurvive bool) {
	w.crashesLeft--
	if writesSurvive { // they were complete, but not confirmed to the machine
		for _, job := range w.writes {
			w.disk[job.ID] = job
		}
	}
	w.writes = nil
	toMachine := func(sent message) bool { return sent.kind == startMessage || sent.kind == ackMessage }
	w.network = slices.DeleteFunc(slices.Clone(w.network), toMachine)
	w.machine = New(w.machine.config)
	w.machine.Recover(w.now, slices.Collect(maps.Values(w.disk)))
}

// violation is the rule that a state breaks; empty: none.
func (w *world) violation() string {
	for id, n := range w.runs {
		if n > 1 {
			return fmt.Sprintf("job %s ran %d times", id, n)
		}
	}
	for id := range w.acknowledged {
		if _, known := w.machine.Get(id); w.acknowledged[id] && !known {
			return fmt.Sprintf("job %s was accepted and is lost", id)
		}
	}
	for _, entry := range w.machine.jobs {
		if entry.State == Done && w.runs[entry.ID] == 0 {
			return fmt.Sprintf("job %s is done and never ran", entry.ID)
		}
		if entry.State == InDoubt && w.guarantees == [2]Guarantee{Deduplicates, Deduplicates} {
			return fmt.Sprintf("job %s is in doubt, though all workers deduplicate", entry.ID)
		}
		if entry.State == InDoubt && w.guarantees == [2]Guarantee{HonorsFences, HonorsFences} && entry.storedVersion > 0 &&
			!strings.Contains(string(entry.Reason), "may have run") {
			return fmt.Sprintf("job %s is in doubt without a reason", entry.ID)
		}
	}
	return ""
}

// explore tries all interleavings to a depth. It returns how many states it visited and the first violation.
func explore(start *world, depth int) (visited int, violation string) {
	stepsLeftByState := map[string]int{}
	var walk func(w *world, stepsLeft int) string
	walk = func(w *world, stepsLeft int) string {
		key := w.key()
		if before, ok := stepsLeftByState[key]; ok && before >= stepsLeft {
			return ""
		}
		stepsLeftByState[key] = stepsLeft
		if violation := w.violation(); violation != "" {
			return violation
		}
		if stepsLeft == 0 {
			return ""
		}
		for _, step := range w.steps() {
			next := w.clone()
			step(next)
			if violation := walk(next, stepsLeft-1); violation != "" {
				return violation
			}
		}
		return ""
	}
	violation = walk(start, depth)
	return len(stepsLeftByState), violation
}

// No interleaving runs a job twice or loses one, whatever the workers guarantee.
func TestExplore(t *testing.T) {
	for _, guarantees := range [][2]Guarantee{
		{HonorsFences, HonorsFences}, {NoGuarantee, NoGuarantee}, {HonorsFences, NoGuarantee},
		{Deduplicates, Deduplicates}, {Deduplicates, HonorsFences}, {Deduplicates, NoGuarantee},
	} {
		depth := 10
		if guarantees[0] != guarantees[1] {
			depth = 9
		}
		visited, violation := explore(newWorld(Config{}, guarantees), depth)
		if violation != "" {
			t.Errorf("workers that guarantee %v: %s", guarantees, violation)
		}
		t.Logf("workers that guarantee %v: %d states to depth %d", guarantees, visited, depth)
		if visited < 1000 {
			t.Error("too few states to tell anything")
		}
	}
}

// newDeliveredWorld is a world with one job, which the first worker has just received.
func newDeliveredWorld(config Config, guarantees [2]Guarantee) *world {
	delivered := newWorld(config, guarantees)
	delivered.pushedJobs = []string{"a"}
	delivered.expiriesLeft = 1
	delivered.lossesLeft = 0
	delivered.carryOut(delivered.machine.Push(0, Job{ID: "a", NonIdempotent: true}, 0))
	delivered.confirmWrite()
	delivered.assign("a", 0)
	delivered.confirmWrite()
	delivery := delivered.network[0]
	delivered.network = nil
	delivered.receive(delivery)
	return delivered
}

// From a delivered job on, with one job and deeper: a late start against the next lease. A machine that ignores fences
// is found to run it twice.
func TestExploreDelivered(t *testing.T) {
	for _, test := range []struct {
		guarantees   [2]Guarantee
		ignoreFences bool
	}{
		{[2]Guarantee{HonorsFences, HonorsFences}, false},
		{[2]Guarantee{HonorsFences, HonorsFences}, true},
		{[2]Guarantee{NoGuarantee, Deduplicates}, false},
		{[2]Guarantee{Deduplicates, NoGuarantee}, false},
		{[2]Guarantee{Deduplicates, Deduplicates}, false},
		{[2]Guarantee{HonorsFences, Deduplicates}, false},
		{[2]Guarantee{Deduplicates, HonorsFences}, false},
	} {
		start := newDeliveredWorld(Config{ignoreFences: test.ignoreFences}, test.guarantees)
		if test.ignoreFences {
			start.crashesLeft = 0
		}
		visited, violation := explore(start, 13)
		t.Logf("from a delivery on, workers that guarantee %v, fences ignored %v: %d states to depth 13, %q",
			test.guarantees, test.ignoreFences, visited, violation)
		ranTwice := strings.Contains(violation, "ran 2 times")
		if test.ignoreFences != ranTwice || !test.ignoreFences && violation != "" {
			t.Errorf("workers that guarantee %v, fences ignored %v: %q", test.guarantees, test.ignoreFences, violation)
		}
	}
}
