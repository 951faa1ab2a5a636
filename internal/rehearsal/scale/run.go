package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"
)

// Run is the record of a completed run of one scenario by one mechanism.
type Run struct {
	Scenario        Scenario
	Mechanism       Mechanism
	Plan            *Plan
	samples         []sample
	tracker         *tracker
	requests        requestCounts
	countersAtStart hollowCounters // sum over all hollow dispatchers, when they had received the endpoint list
	countersAtEnd   hollowCounters // sum over all hollow dispatchers, at the end of the run
	behindAtEnd     int            // number of reachable hollow dispatchers that had not applied the last version at the end
	processCount    int
	actions         []takenAction
}

// takenAction is an action with the time at which it was taken.
type takenAction struct {
	kind    EventKind
	takenAt time.Time
}

const (
	settleDelay    = 2 * time.Second       // pause after all dispatchers have the list, before the first step
	sampleInterval = time.Second           // time between samples of the usage
	pollInterval   = 20 * time.Millisecond // time between checks of what the processes have reported
	countTimeout   = 10 * time.Second      // limit for the hollow dispatchers to report their counters at the end
	stepTolerance  = 5 * time.Millisecond  // a step that is due within this time is executed at once
)

// Execute runs a scenario by one mechanism: it starts the processes, executes the plan's steps when they are due and samples
// the usage once a second. It returns at the scenario's deadline at the latest, and stops all its processes before.
func Execute(ctx context.Context, scenario Scenario, mechanism Mechanism, programs Programs, log *slog.Logger) (*Run, error) {
	ctx, cancel := context.WithTimeout(ctx, seconds(scenario.DeadlineS))
	defer cancel()
	dir, err := os.MkdirTemp("", "hollyyoke-scale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	plan := NewPlan(&scenario)
	created := &runner{
		run:     &Run{Scenario: scenario, Mechanism: mechanism, Plan: plan},
		cluster: newCluster(&scenario, plan, mechanism, programs, dir),
		log:     log.With("scenario", scenario.Name, "mechanism", mechanism),
	}
	defer created.cluster.close()
	if err := created.execute(ctx); err != nil {
		return nil, fmt.Errorf("%s by %s: %w", scenario.Name, mechanism, err)
	}
	return created.run, nil
}

// runner executes one run.
type runner struct {
	run           *Run
	cluster       *cluster
	log           *slog.Logger
	newestVersion int64
	startedAt     time.Time
}

// execute starts the processes, waits until all dispatchers have the endpoint list, and runs the scenario.
func (r *runner) execute(ctx context.Context) error {
	if err := r.cluster.start(); err != nil {
		return err
	}
	// A dispatcher that has applied the version of this change is connected to its upstream. Having the list alone would not
	// show that, since a dispatcher may have started with it.
	marker := Change{Host: r.run.Plan.Hosts[0]}
	versions, err := r.cluster.origin.change([][]Change{{marker}})
	if err != nil {
		return err
	}
	r.newestVersion = versions[0].Version
	r.cluster.forgetInitialList()
	r.run.processCount = r.cluster.processes()
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	r.run.countersAtStart, err = r.cluster.collectCounters(ctx)
	if err != nil {
		return err
	}
	r.startedAt = time.Now()
	r.log.Info("all dispatchers have the endpoint list", "workers", len(r.run.Plan.Hosts), "processes", r.run.processCount)
	if err := r.sample(); err != nil {
		return err
	}
	if err := r.runSteps(ctx); err != nil {
		return err
	}
	return r.finish(ctx)
}

// waitReady waits until all hollow dispatchers have the newest version and all daemons have exchanged data, and then for
// settleDelay, so that they are idle.
func (r *runner) waitReady(ctx context.Context) error {
	for r.cluster.countBehind(r.newestVersion) > 0 || r.cluster.countSilentDaemons() > 0 {
		if err := r.cluster.childError(); err != nil {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("waiting for %d hollow and %d real dispatchers: %w", r.cluster.countBehind(r.newestVersion), r.cluster.countSilentDaemons(), err)
		}
	}
	return sleep(ctx, settleDelay)
}

// sleep waits for the given span. If the context ends earlier, it returns the context's error.
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

// waitUntil waits until the given offset from the start of the run, and takes the samples that are due in the meantime.
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

// sample takes a sample. It returns an error if the processes together exceed the memory limit, or if one has failed.
func (r *runner) sample() error {
	taken := r.cluster.sample()
	r.run.samples = append(r.run.samples, taken)
	if resident := taken.resident(); resident > maxMemory {
		return fmt.Errorf("%d MB resident in all processes, more than %d", resident>>20, maxMemory>>20)
	}
	return r.cluster.childError()
}

// runSteps executes the plan's steps when they are due, and waits until the scenario's length has passed.
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

// runStep takes the action of a step, publishes its changes and records the versions.
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
		r.cluster.tracker.recordPublished(version.Version, version.PublishedAt, step.Phase)
		r.newestVersion = version.Version
	}
	return nil
}

// takeAction takes an action, and records the hollow dispatchers that become unreachable or reachable by it.
func (r *runner) takeAction(action Action) error {
	cluster := r.cluster
	r.run.actions = append(r.run.actions, takenAction{kind: action.Kind, takenAt: time.Now()})
	r.log.Info(string(action.Kind), "zone", action.Zone, "region", action.Region)
	switch action.Kind {
	case ZoneLoss:
		r.changeNetwork(action.Kind, func() { cluster.network.lostZones[action.Zone] = true })
		cluster.killRelay(action.Zone)
	case ZoneReturn:
		if cluster.mechanism == MechanismRelays {
			if err := cluster.restartRelay(action.Zone); err != nil {
				return err
			}
		}
		r.changeNetwork(action.Kind, func() { delete(cluster.network.lostZones, action.Zone) })
	case RegionCut:
		r.changeNetwork(action.Kind, func() { cluster.network.isolatedRegions[action.Region] = true })
	case RegionHeal:
		r.changeNetwork(action.Kind, func() { delete(cluster.network.isolatedRegions, action.Region) })
	case RelayDown:
		cluster.killRelay(action.Zone)
	case RelayUp:
		if cluster.mechanism == MechanismRelays {
			return cluster.restartRelay(action.Zone)
		}
	case RestartZone:
		return r.restartZone(action)
	}
	return nil
}

// changeNetwork calls change, which changes the lost zones and regions, cuts and heals the links accordingly, and records
// the hollow dispatchers that become unreachable or reachable.
func (r *runner) changeNetwork(kind EventKind, change func()) {
	cluster := r.cluster
	before := make([]bool, cluster.scenario.Zones)
	for zone := range before {
		before[zone] = cluster.network.connected(zone, originZone)
	}
	change()
	cluster.network.applyCuts()
	now := sharedNow()
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for zone := range before {
		after := cluster.network.connected(zone, originZone)
		for _, name := range cluster.hollowNames(zone) {
			switch {
			case before[zone] && !after:
				cluster.tracker.recordUnreachable(name, now)
			case !before[zone] && after:
				cluster.tracker.recordReachable(name, now, string(kind), r.newestVersion)
			}
		}
	}
}

// restartZone restarts a zone's dispatchers. It records the hollow ones as unreachable during the restart. Afterwards it
// records them as reachable since the beginning of the restart, so that their catch-up delay includes the restart.
func (r *runner) restartZone(action Action) error {
	cluster := r.cluster
	now := sharedNow()
	cluster.mutex.Lock()
	for _, name := range cluster.hollowNames(action.Zone) {
		cluster.tracker.recordUnreachable(name, now)
	}
	cluster.mutex.Unlock()
	err := cluster.restartZone(action.Zone)
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, name := range cluster.hollowNames(action.Zone) {
		cluster.tracker.recordReachable(name, now, string(action.Kind), r.newestVersion)
	}
	return err
}

// finish waits until all reachable hollow dispatchers have the newest version, and completes the record of the run.
func (r *runner) finish(ctx context.Context) error {
	for r.cluster.countBehind(r.newestVersion) > 0 {
		err := r.waitUntil(ctx, time.Since(r.startedAt)+sampleInterval)
		if ctx.Err() != nil {
			break // the deadline has passed: the run ends, and reports the dispatchers that are behind
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
	counters, err := r.cluster.collectCounters(counting)
	if err != nil {
		return err
	}
	r.run.countersAtEnd = counters
	cluster := r.cluster
	r.run.behindAtEnd = cluster.countBehind(r.newestVersion)
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	r.run.requests = cluster.requests
	r.run.tracker = cluster.tracker
	cluster.tracker = newTracker() // reports that arrive while the processes are stopped are ignored
	return nil
}
