package jobs

import (
	"errors"
	"strings"
	"testing"
	"time"
)

var errDiskFull = errors.New("disk full")

// effectNames are the names of effects in these tests.
var effectNames = map[EffectKind]string{
	StoreJob:            "store",
	AnswerPush:          "answer",
	DeliverJob:          "deliver",
	GrantStart:          "grant",
	AnswerReport:        "reply",
	DeleteJob:           "delete",
	AnnounceLeaseExpiry: "expired",
}

// describeEffects describes each effect, except AnnounceRunnable, by its name, the job's id and state, and the error or,
// without one, the job's reason.
func describeEffects(effects []Effect) string {
	var descriptions []string
	for _, effect := range effects {
		if effect.Kind == AnnounceRunnable {
			continue
		}
		reason := string(effect.Job.Reason)
		if effect.Err != nil {
			reason = effect.Err.Error()
		}
		words := []string{effectNames[effect.Kind], effect.Job.ID, effect.Job.State.String(), reason}
		descriptions = append(descriptions, strings.TrimSpace(strings.Join(words, " ")))
	}
	return strings.Join(descriptions, "; ")
}

// script checks the effects of each call to a machine. It stores nothing by itself: the test calls Stored.
type script struct {
	t       *testing.T
	machine *Machine
}

func newScript(t *testing.T) *script {
	return &script{t, New(Config{LeaseDuration: 10 * time.Second, RecoveryGrace: 5 * time.Second, MaxAttempts: 2})}
}

// effects checks the effects of a call.
func (s *script) effects(step string, effects []Effect, want string) {
	s.t.Helper()
	s.equal(step, describeEffects(effects), want)
}

// equal compares two texts.
func (s *script) equal(step, got, want string) {
	s.t.Helper()
	if got != want {
		s.t.Errorf("%s: %q, want %q", step, got, want)
	}
}

// state is the name of a job's state.
func (s *script) state(id string) string {
	job, _ := s.machine.Get(id)
	return job.State.String()
}

// leaseStored leases a ready job, stores that, and returns the fence of the lease.
func (s *script) leaseStored(now time.Duration, id, worker string) uint64 {
	s.machine.Assign(now, id, worker, NoGuarantee)
	job, _ := s.machine.Get(id)
	s.machine.Stored(now, id, job.Version)
	return job.Fence
}

// storedMachine is a machine with a clock, and with a store that succeeds at once.
type storedMachine struct {
	*Machine
	t   *testing.T
	now time.Duration
}

func newStoredMachine(t *testing.T) *storedMachine {
	config := Config{
		LeaseDuration: 10 * time.Second,
		RecoveryGrace: 5 * time.Second,
		MaxAttempts:   3,
		Retention:     100 * time.Second,
		DeadRetention: 1000 * time.Second,
	}
	return &storedMachine{Machine: New(config), t: t}
}

// carryOut reports each StoreJob effect as stored, and returns the error of the last answer.
func (m *storedMachine) carryOut(effects []Effect) (err error) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch effect.Kind {
		case StoreJob:
			effects = append(effects, m.Stored(m.now, effect.Job.ID, effect.Job.Version)...)
		case AnswerPush, AnswerReport:
			err = effect.Err
		}
	}
	return err
}

func (m *storedMachine) push(job Job) error { return m.carryOut(m.Push(m.now, job, 0)) }

// lease leases a ready job to a worker and returns its fence.
func (m *storedMachine) lease(id string, guarantee Guarantee) uint64 {
	m.t.Helper()
	m.carryOut(m.Assign(m.now, id, "w", guarantee))
	m.expectState(id, Leased)
	job, _ := m.Get(id)
	return job.Fence
}

func (m *storedMachine) fail(id string, fence uint64, reason Reason, started bool) {
	m.carryOut(m.Fail(m.now, id, fence, reason, started))
}

func (m *storedMachine) move(id string, move Move, operator bool) error {
	effects, err := m.Move(m.now, id, move, "asked", operator)
	m.carryOut(effects)
	return err
}

// tickAt sets the clock and lets the machine act on what is due.
func (m *storedMachine) tickAt(now time.Duration) {
	m.now = now
	m.carryOut(m.Tick(now))
}

// restart recovers a new machine from what is stored.
func (m *storedMachine) restart() {
	var disk []Job
	m.Each(func(job Job) { disk = append(disk, job) })
	m.Machine = New(m.config)
	m.carryOut(m.Recover(m.now, disk))
}

func (m *storedMachine) expectState(id string, want State) {
	m.t.Helper()
	job, known := m.Get(id)
	if !known || job.State != want {
		m.t.Fatalf("%s is %s, want %s", id, job.State, want)
	}
}
