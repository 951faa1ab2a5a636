package jobs

import (
	"errors"
	"strings"
	"testing"
	"time"
)

var errDiskFull = errors.New("disk full")

// effectNames are short names of effects, which describeEffects uses.
var effectNames = map[EffectKind]string{
	StoreJob:            "store",
	AnswerPush:          "answer",
	DeliverJob:          "deliver",
	GrantStart:          "grant",
	AnswerReport:        "reply",
	DeleteJob:           "delete",
	AnnounceLeaseExpiry: "expired",
}

// describeEffects returns one phrase for each effect, separated by semicolons: the effect's name, the job's id and
// state, and the effect's error or, if there is none, the job's reason. It leaves out AnnounceRunnable.
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

// effectChecker compares the effects of calls to a machine with what a test expects. It does not carry them out: the
// test itself calls Stored to confirm that a job is stored.
type effectChecker struct {
	t       *testing.T
	machine *Machine
}

func newEffectChecker(t *testing.T) *effectChecker {
	return &effectChecker{t, New(Config{LeaseDuration: 10 * time.Second, RecoveryGrace: 5 * time.Second, MaxAttempts: 2})}
}

// expectEffects compares the effects of a call with want, in the form of describeEffects.
func (s *effectChecker) expectEffects(step string, effects []Effect, want string) {
	s.t.Helper()
	s.expectEqual(step, describeEffects(effects), want)
}

// expectEqual fails the test if got is not want.
func (s *effectChecker) expectEqual(step, got, want string) {
	s.t.Helper()
	if got != want {
		s.t.Errorf("%s: %q, want %q", step, got, want)
	}
}

// stateName returns the name of a job's state.
func (s *effectChecker) stateName(id string) string {
	job, _ := s.machine.Get(id)
	return job.State.String()
}

// leaseAndStore leases a ready job to a worker, confirms that the lease is stored, and returns its fence.
func (s *effectChecker) leaseAndStore(now time.Duration, id, worker string) uint64 {
	s.machine.Assign(now, id, worker, NoGuarantee)
	job, _ := s.machine.Get(id)
	s.machine.Stored(now, id, job.Version)
	return job.Fence
}

// machineWithStore is a machine with a clock that the test sets, and with a store that confirms each write at once.
type machineWithStore struct {
	*Machine
	t   *testing.T
	now time.Duration
}

func newMachineWithStore(t *testing.T) *machineWithStore {
	config := Config{
		LeaseDuration: 10 * time.Second,
		RecoveryGrace: 5 * time.Second,
		MaxAttempts:   3,
		Retention:     100 * time.Second,
		DeadRetention: 1000 * time.Second,
	}
	return &machineWithStore{Machine: New(config), t: t}
}

// applyEffects confirms each StoreJob effect as stored, and handles the effects that follow from that. It returns the
// error of the last answer to a push or a report.
func (m *machineWithStore) applyEffects(effects []Effect) (err error) {
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

func (m *machineWithStore) push(job Job) error { return m.applyEffects(m.Push(m.now, job, 0)) }

// lease leases a ready job to a worker and returns its fence.
func (m *machineWithStore) lease(id string, guarantee Guarantee) uint64 {
	m.t.Helper()
	m.applyEffects(m.Assign(m.now, id, "w", guarantee))
	m.expectState(id, Leased)
	job, _ := m.Get(id)
	return job.Fence
}

func (m *machineWithStore) fail(id string, fence uint64, reason Reason, started bool) {
	m.applyEffects(m.Fail(m.now, id, fence, reason, started))
}

func (m *machineWithStore) move(id string, move Move, operator bool) error {
	effects, err := m.Move(m.now, id, move, "asked", operator)
	m.applyEffects(effects)
	return err
}

// tickAt sets the clock and lets the machine act on what is due.
func (m *machineWithStore) tickAt(now time.Duration) {
	m.now = now
	m.applyEffects(m.Tick(now))
}

// restart replaces the machine by a new one that recovers the old one's jobs.
func (m *machineWithStore) restart() {
	var disk []Job
	m.Each(func(job Job) { disk = append(disk, job) })
	m.Machine = New(m.config)
	m.applyEffects(m.Recover(m.now, disk))
}

func (m *machineWithStore) expectState(id string, want State) {
	m.t.Helper()
	job, known := m.Get(id)
	if !known || job.State != want {
		m.t.Fatalf("%s is %s, want %s", id, job.State, want)
	}
}
