package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"
)

// Run is a run that has ended.
type Run struct {
	Scenario      Scenario
	Mechanism     Mechanism
	Plan          *Plan
	samples       []sample
	tracker       *tracker
	traffic       trafficCounts
	countsAtStart ownCounts // of all hollow dispatchers, when the list was there
	countsAtEnd   ownCounts
	behindAtEnd   int // reachable dispatchers without the last version at the end
	processes     int
	actions       []takenAction
}

// takenAction is an action with the time at which it was taken.
type takenAction struct {
	kind    EventKind
	takenAt time.Time
}

const (
	settleDelay    = 2 * time.Second // from the last dispatcher's readiness to the first step
	sampleInterval = time.Second
	pollInterval   = 20 * time.Millisecond
	countTimeout   = 10 * time.Second     // for hollow dispatchers to report what they have counted
	stepTolerance  = 5 * time.Millisecond // steps that are this close to each other are made at once
)

// Execute runs a scenario by one mechanism: it starts the processes, makes the plan's steps when they are due and
// samples the meters once a second. It ends at the scenario's deadline at the latest, and all its processes end with
// it.
func Execute(ctx context.Context, scenario Scenario, mechanism Mechanism, programs Programs, log *slog.Logger) (*Run, error) {
	ctx, cancel := context.WithTimeout(ctx, seconds(scenario.DeadlineS))
	defer cancel()
	dir, err := os.MkdirTemp("", "hollyyoke-scale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	plan := NewPlan(&scenario)
	started := &runner{
		run:     &Run{Scenario: scenario, Mechanism: mechanism, Plan: plan},
		cluster: newCluster(&scenario, plan, mechanism, programs, dir),
		log:     log.With("scenario", scenario.Name, "mechanism", mechanism),
	}
	defer started.cluster.close()
	if err := started.execute(ctx); err != nil {
		return nil, fmt.Errorf("%s by %s: %w", scenario.Name, mechanism, err)
	}
	return started.run, nil
}

// runner executes one run.
type runner struct {
	run           *Run
	cluster       *cluster
	log           *slog.Logger
	newestVersion int64
	startedAt     time.Time
}

// execute starts the processes and runs the scenario.
func (r *runner) execute(ctx context.Context) error {
	if err := r.cluster.start(); err != nil {
		return err
	}
	// Once a dispatcher has this change, it follows the list.
	marker := Change{Host: r.run.Plan.Hosts[0]}
	versions, err := r.cluster.origin.change([][]Change{{marker}})
	if err != nil {
		return err
	}
	r.newestVersion = versions[0].Version
	r.cluster.forgetInitialList()
	r.run.processes = r.cluster.processes()
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	r.run.countsAtStart, err = r.cluster.collectOwnCounts(ctx)
	if err != nil {
		return err
	}
	r.startedAt = time.Now()
	r.log.Info("all dispatchers have the list", "workers", len(r.run.Plan.Hosts), "processes", r.run.processes)
	if err := r.sample(); err != nil {
		return err
	}
	if err := r.runSteps(ctx); err != nil {
		return err
	}
	return r.finish(ctx)
}

// waitReady waits until all dispatchers have the list and are idle.
func (r *runner) waitReady(ctx context.Context) error {
	for r.cluster.countBehind(r.newestVersion) > 0 || r.cluster.silentDaemons() > 0 {
		if err := r.cluster.childError(); err != nil {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("waiting for %d hollow and %d real dispatchers: %w", r.cluster.countBehind(r.newestVersion), r.cluster.silentDaemons(), err)
		}
	}
	return sleep(ctx, settleDelay)
}

// sleep waits for a time or until the context ends, then with its error.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUntil waits until a time of the run, and samples the meters meanwhile.
func (r *runner) waitUntil(ctx context.Context, offset time.Duration) error {
	for {
		nextSample := r.run.samples[len(r.run.samples)-1].takenAt.Add(sampleInterval)
		due := r.startedAt.Add(offset)
		if due.Before(nextSample) {
			return sleep(ctx, time.Until(due))
		}
		if err := sleep(ctx, time.Until(nextSample)); err != nil {
			return err
		}
		if err := r.sample(); err != nil {
			return err
		}
	}
}

// sample reads the meters and checks the limits.
func (r *runner) sample() error {
	taken := r.cluster.sample()
	r.run.samples = append(r.run.samples, taken)
	if resident := taken.resident(); resident > maxMemory {
		return fmt.Errorf("%d MB resident in all processes, more than %d", resident>>20, maxMemory>>20)
	}
	return r.cluster.childError()
}

// runSteps makes the plan's steps and waits until the scenario's length has passed.
func (r *runner) runSteps(ctx context.Context) error {
	for _, step := range r.run.Plan.Steps {
		if time.Until(r.startedAt.Add(step.DueAt)) > stepTolerance {
			if err := r.waitUntil(ctx, step.DueAt); err != nil {
				return err
			}
		}
		if err := r.runStep(step); err != nil {
			return err
		}
	}
	return r.waitUntil(ctx, seconds(r.run.Scenario.LengthS))
}

// runStep makes the changes of a step and takes its action.
func (r *runner) runStep(step Step) error {
	if step.Action.Kind != "" {
		if err := r.takeAction(step.Action); err != nil {
			return err
		}
	}
	if len(step.Changes) == 0 {
		return nil
	}
	versions, err := r.cluster.origin.change(step.Changes)
	if err != nil {
		return err
	}
	r.cluster.mutex.Lock()
	defer r.cluster.mutex.Unlock()
	for _, version := range versions {
		r.cluster.tracker.recordMade(version.Version, version.MadeAt, step.Phase)
		r.newestVersion = version.Version
	}
	return nil
}

// takeAction takes an action, and records which dispatchers are reachable before and after it.
func (r *runner) takeAction(action Action) error {
	cluster := r.cluster
	r.run.actions = append(r.run.actions, takenAction{kind: action.Kind, takenAt: time.Now()})
	r.log.Info(string(action.Kind), "zone", action.Zone, "region", action.Region)
	switch action.Kind {
	case ZoneLoss:
		r.changeNetwork(action.Kind, func() { cluster.network.lostZones[action.Zone] = true })
		cluster.killRelay(action.Zone)
	case ZoneReturn:
		if cluster.mechanism == ByRelays {
			if err := cluster.restartRelay(action.Zone); err != nil {
				return err
			}
		}
		r.changeNetwork(action.Kind, func() { delete(cluster.network.lostZones, action.Zone) })
	case RegionCut:
		r.changeNetwork(action.Kind, func() { cluster.network.lostRegions[action.Region] = true })
	case RegionHeal:
		r.changeNetwork(action.Kind, func() { delete(cluster.network.lostRegions, action.Region) })
	case RelayDown:
		cluster.killRelay(action.Zone)
	case RelayUp:
		if cluster.mechanism == ByRelays {
			return cluster.restartRelay(action.Zone)
		}
	case RestartZone:
		return r.restartZone(action)
	}
	return nil
}

// changeNetwork changes the lost zones and regions, and records which dispatchers are cut off or reachable again.
func (r *runner) changeNetwork(kind EventKind, change func()) {
	cluster := r.cluster
	before := make([]bool, cluster.scenario.Zones)
	for zone := range before {
		before[zone] = cluster.network.connected(zone, originZone)
	}
	change()
	cluster.network.update()
	now := unixNow()
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for zone := range before {
		after := cluster.network.connected(zone, originZone)
		for _, name := range cluster.hollowNames(zone) {
			switch {
			case before[zone] && !after:
				cluster.tracker.recordCut(name, now)
			case !before[zone] && after:
				cluster.tracker.recordHeal(name, now, string(kind), r.newestVersion)
			}
		}
	}
}

// restartZone restarts a zone's dispatchers, which are unreachable meanwhile.
func (r *runner) restartZone(action Action) error {
	cluster := r.cluster
	now := unixNow()
	cluster.mutex.Lock()
	for _, name := range cluster.hollowNames(action.Zone) {
		cluster.tracker.recordCut(name, now)
	}
	cluster.mutex.Unlock()
	err := cluster.restartZone(action.Zone)
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, name := range cluster.hollowNames(action.Zone) {
		cluster.tracker.recordHeal(name, now, string(action.Kind), r.newestVersion)
	}
	return err
}

// finish waits until all reachable dispatchers have the newest version, and ends the run.
func (r *runner) finish(ctx context.Context) error {
	for r.cluster.countBehind(r.newestVersion) > 0 {
		err := r.waitUntil(ctx, time.Since(r.startedAt)+sampleInterval)
		if ctx.Err() != nil {
			break // the deadline: the run reports what is missing
		}
		if err != nil {
			return err
		}
	}
	if err := r.sample(); err != nil {
		return err
	}
	counting, cancel := context.WithTimeout(context.WithoutCancel(ctx), countTimeout)
	defer cancel()
	ownCounts, err := r.cluster.collectOwnCounts(counting)
	if err != nil {
		return err
	}
	r.run.countsAtEnd = ownCounts
	cluster := r.cluster
	r.run.behindAtEnd = cluster.countBehind(r.newestVersion)
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	r.run.traffic = cluster.traffic
	r.run.tracker = cluster.tracker
	cluster.tracker = newTracker() // reports of processes that end do not count
	return nil
}
