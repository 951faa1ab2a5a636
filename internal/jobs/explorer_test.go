package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// These tests explore all interleavings of a small system up to a number of steps (model checking). The system has two
// workers, two non-idempotent jobs, a store that confirms writes late, messages that are lost or late, leases that
// expire, and crashes. In a crash, either all writes that had not been confirmed are kept or all are lost. A state is
// not explored again if it was already visited with at least as many steps left.

// messageKind is the kind of a message between the machine and a worker.
type messageKind string

const (
	deliverMessage messageKind = "deliver" // to the worker: a job
	startMessage   messageKind = "start"   // to the machine: the worker asks to start the job
	grantMessage   messageKind = "grant"   // to the worker: it may start the job
	ackMessage     messageKind = "ack"     // to the machine: the job is done
)

// message is a message in transit between the machine and a worker.
type message struct {
	kind   messageKind
	worker int
	id     string
	fence  uint64
}

// answer returns a message of the given kind about the same lease and worker.
func (m message) answer(kind messageKind) message {
	m.kind = kind
	return m
}

// system is a machine with its store, its network and its workers.
type system struct {
	machine         *Machine
	guarantees      [2]Guarantee // by worker
	disk            map[string]Job
	writes          []Job // handed to the store and not confirmed
	network         []message
	held            [2]map[string]uint64 // by worker: the jobs that it may run and has not run yet, with their fences
	runs            map[string]int       // by job
	ranWithoutDedup map[string]bool      // by job: its last run was on a worker that does not deduplicate
	acknowledged    map[string]bool      // by job: its producer has been told that the job is accepted
	now             time.Duration
	crashesLeft     int
	expiriesLeft    int
	lossesLeft      int
	pushedJobs      []string
}

func newSystem(config Config, guarantees [2]Guarantee) *system {
	return &system{
		machine:         New(config),
		guarantees:      guarantees,
		disk:            map[string]Job{},
		held:            [2]map[string]uint64{{}, {}},
		runs:            map[string]int{},
		ranWithoutDedup: map[string]bool{},
		acknowledged:    map[string]bool{},
		crashesLeft:     1,
		expiriesLeft:    2,
		lossesLeft:      1,
		pushedJobs:      []string{"a", "b"},
	}
}

func (s *system) clone() *system {
	clone := *s
	clone.machine = cloneMachine(s.machine)
	clone.disk = maps.Clone(s.disk)
	clone.runs = maps.Clone(s.runs)
	clone.acknowledged = maps.Clone(s.acknowledged)
	clone.ranWithoutDedup = maps.Clone(s.ranWithoutDedup)
	clone.writes = slices.Clone(s.writes)
	clone.network = slices.Clone(s.network)
	for worker := range clone.held {
		clone.held[worker] = maps.Clone(s.held[worker])
	}
	return &clone
}

// cloneMachine copies a machine except inOrder, the order of its jobs, which the explorer does not use.
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

// stateKey returns a text that is equal for equal states of the system.
func (s *system) stateKey() string {
	var key strings.Builder
	fmt.Fprint(&key, s.now, s.crashesLeft, s.expiriesLeft, s.lossesLeft, s.machine.lastFence)
	for _, id := range sortedIDs(s.machine) {
		entry := s.machine.jobs[id]
		fmt.Fprint(&key, entry.Job, entry.storedVersion, len(entry.afterStore))
	}
	network := slices.Clone(s.network)
	slices.SortFunc(network, func(a, b message) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	fmt.Fprint(&key, s.disk, s.writes, network, s.held, s.runs, s.acknowledged)
	return key.String()
}

// applyEffects puts writes into the queue of the store and messages to workers into the network, and notes accepted
// jobs.
func (s *system) applyEffects(effects []Effect) {
	for _, effect := range effects {
		worker := 0
		if effect.Job.Worker == "w1" {
			worker = 1
		}
		switch effect.Kind {
		case StoreJob:
			s.writes = append(s.writes, effect.Job)
		case AnswerPush:
			s.acknowledged[effect.Job.ID] = s.acknowledged[effect.Job.ID] || effect.Err == nil
		case DeliverJob:
			s.network = append(s.network, message{deliverMessage, worker, effect.Job.ID, effect.Job.Fence})
		case GrantStart:
			s.network = append(s.network, message{grantMessage, worker, effect.Job.ID, effect.Job.Fence})
		}
	}
}

// receive delivers a message to the machine or to a worker.
func (s *system) receive(received message) {
	switch received.kind {
	case deliverMessage:
		if s.guarantees[received.worker] == HonorsFences {
			s.network = append(s.network, received.answer(startMessage))
		} else {
			s.held[received.worker][received.id] = received.fence
		}
	case grantMessage:
		s.held[received.worker][received.id] = received.fence
	case startMessage:
		s.receiveStart(received)
	case ackMessage:
		s.applyEffects(s.machine.Ack(s.now, received.id, received.fence, nil))
	}
}

// receiveStart delivers a worker's request to start a job. A machine that ignores fences grants it to any worker.
func (s *system) receiveStart(request message) {
	effects, err := s.machine.Start(s.now, request.id, request.fence)
	s.applyEffects(effects)
	if err != nil || !s.machine.config.ignoreFences {
		return
	}
	if len(effects) == 0 {
		s.network = append(s.network, request.answer(grantMessage))
		return
	}
	for i := range s.network { // without fences the grant goes to the worker that asked, even if another worker holds the lease
		if s.network[i].kind == grantMessage && s.network[i].id == request.id {
			s.network[i].worker = request.worker
		}
	}
}

// step is an event that can happen next; it changes the system.
type step func(*system)

// steps returns all events that can happen next.
func (s *system) steps() (steps []step) {
	steps = append(steps, s.pushSteps()...)
	if len(s.writes) > 0 {
		steps = append(steps, (*system).confirmWrite)
	}
	for _, id := range s.machine.Ready() {
		for worker := range 2 {
			steps = append(steps, func(s *system) { s.assign(id, worker) })
		}
	}
	steps = append(steps, s.networkSteps()...)
	for worker := range s.held {
		for _, id := range slices.Sorted(maps.Keys(s.held[worker])) {
			steps = append(steps, func(s *system) { s.run(worker, id) })
		}
	}
	if s.expiriesLeft > 0 {
		steps = append(steps, (*system).expireLeases)
	}
	if s.crashesLeft > 0 {
		for _, writesSurvive := range []bool{false, true} {
			steps = append(steps, func(s *system) { s.crash(writesSurvive) })
		}
	}
	return steps
}

func (s *system) pushSteps() (steps []step) {
	for _, id := range s.pushedJobs {
		_, known := s.machine.Get(id)
		if !known && !s.acknowledged[id] {
			steps = append(steps, func(s *system) {
				s.applyEffects(s.machine.Push(s.now, Job{ID: id, NonIdempotent: true}, 0))
			})
		}
	}
	return steps
}

func (s *system) networkSteps() (steps []step) {
	for i, received := range s.network {
		steps = append(steps, func(s *system) {
			s.network = slices.Delete(slices.Clone(s.network), i, i+1)
			s.receive(received)
		})
		if s.lossesLeft > 0 {
			steps = append(steps, func(s *system) {
				s.lossesLeft--
				s.network = slices.Delete(slices.Clone(s.network), i, i+1)
			})
		}
	}
	return steps
}

func (s *system) confirmWrite() {
	job := s.writes[0]
	s.writes = s.writes[1:]
	s.disk[job.ID] = job
	s.applyEffects(s.machine.Stored(s.now, job.ID, job.Version))
}

func (s *system) assign(id string, worker int) {
	s.applyEffects(s.machine.Assign(s.now, id, fmt.Sprint("w", worker), s.guarantees[worker]))
}

func (s *system) run(worker int, id string) {
	fence := s.held[worker][id]
	delete(s.held[worker], id)
	deduplicates := s.guarantees[worker] == Deduplicates
	if !deduplicates || s.runs[id] == 0 || s.ranWithoutDedup[id] { // otherwise the last run is known to all workers that deduplicate
		s.runs[id]++
		s.ranWithoutDedup[id] = !deduplicates
	}
	s.network = append(s.network, message{ackMessage, worker, id, fence})
}

func (s *system) expireLeases() {
	s.expiriesLeft--
	s.now += s.machine.config.LeaseDuration + s.machine.config.RecoveryGrace + 1
	s.applyEffects(s.machine.Tick(s.now))
}

func (s *system) crash(writesSurvive bool) {
	s.crashesLeft--
	if writesSurvive { // they had reached the disk, but were not confirmed to the machine
		for _, job := range s.writes {
			s.disk[job.ID] = job
		}
	}
	s.writes = nil
	toMachine := func(sent message) bool { return sent.kind == startMessage || sent.kind == ackMessage }
	s.network = slices.DeleteFunc(slices.Clone(s.network), toMachine)
	s.machine = New(s.machine.config)
	s.machine.Recover(s.now, slices.Collect(maps.Values(s.disk)))
}

// violation describes the invariant that the state violates; it is empty if there is none.
func (s *system) violation() string {
	for id, n := range s.runs {
		if n > 1 {
			return fmt.Sprintf("job %s ran %d times", id, n)
		}
	}
	for id := range s.acknowledged {
		if _, known := s.machine.Get(id); s.acknowledged[id] && !known {
			return fmt.Sprintf("job %s was accepted and is lost", id)
		}
	}
	for _, entry := range s.machine.jobs {
		if entry.State == Done && s.runs[entry.ID] == 0 {
			return fmt.Sprintf("job %s is done and never ran", entry.ID)
		}
		if entry.State == InDoubt && s.guarantees == [2]Guarantee{Deduplicates, Deduplicates} {
			return fmt.Sprintf("job %s is in doubt, though all workers deduplicate", entry.ID)
		}
		if entry.State == InDoubt && s.guarantees == [2]Guarantee{HonorsFences, HonorsFences} && entry.storedVersion > 0 &&
			!strings.Contains(string(entry.Reason), "may have run") {
			return fmt.Sprintf("job %s is in doubt without a reason", entry.ID)
		}
	}
	return ""
}

// explore tries all interleavings of up to depth steps. It returns the number of visited states and the first
// violation.
func explore(start *system, depth int) (visited int, violation string) {
	stepsLeftByState := map[string]int{}
	var walk func(s *system, stepsLeft int) string
	walk = func(s *system, stepsLeft int) string {
		key := s.stateKey()
		if before, ok := stepsLeftByState[key]; ok && before >= stepsLeft {
			return ""
		}
		stepsLeftByState[key] = stepsLeft
		if violation := s.violation(); violation != "" {
			return violation
		}
		if stepsLeft == 0 {
			return ""
		}
		for _, step := range s.steps() {
			next := s.clone()
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
		visited, violation := explore(newSystem(Config{}, guarantees), depth)
		if violation != "" {
			t.Errorf("workers that guarantee %v: %s", guarantees, violation)
		}
		t.Logf("workers that guarantee %v: %d states to depth %d", guarantees, visited, depth)
		if visited < 1000 {
			t.Error("too few states were explored")
		}
	}
}

// newDeliveredSystem returns a system with one job, which the first worker has just received.
func newDeliveredSystem(config Config, guarantees [2]Guarantee) *system {
	delivered := newSystem(config, guarantees)
	delivered.pushedJobs = []string{"a"}
	delivered.expiriesLeft = 1
	delivered.lossesLeft = 0
	delivered.applyEffects(delivered.machine.Push(0, Job{ID: "a", NonIdempotent: true}, 0))
	delivered.confirmWrite()
	delivered.assign("a", 0)
	delivered.confirmWrite()
	delivery := delivered.network[0]
	delivered.network = nil
	delivered.receive(delivery)
	return delivered
}

// Explores from a state in which one job is delivered, to a greater depth than TestExplore, so that a late request to
// start can arrive during the job's next lease. For a machine that ignores fences, the exploration must find that the
// job runs twice.
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
		start := newDeliveredSystem(Config{ignoreFences: test.ignoreFences}, test.guarantees)
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
