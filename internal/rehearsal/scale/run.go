package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"
)

// This file owns the course of one run: it starts the cluster, makes the plan's
// steps when they are due and reads the meters once a second.

// Run is a run that has ended.
type Run struct {
	Scenario  Scenario
	Mechanism Mechanism
	Plan      *Plan
	samples   []sample
	tracker   *tracker
	counts    trafficCounts
	atStart   ownCounts // of all hollow dispatchers, when the list was there
	atEnd     ownCounts
	unsettled int // reachable dispatchers without the last version at the end
	processes int
	acts      []act
}

// act is an action that was taken.
type act struct {
	kind Kind
	at   time.Time
}

const (
	settleTime    = 2 * time.Second // from the last dispatcher's readiness to the first step
	sampleStep    = time.Second
	waitStep      = 20 * time.Millisecond
	countPatience = 10 * time.Second     // for hollow dispatchers to tell what they have counted
	stepPatience  = 5 * time.Millisecond // steps so close to each other are made in one go
)

// Play runs a scenario by one mechanism. It ends by itself at the scenario's deadline.
func Play(ctx context.Context, s Scenario, mechanism Mechanism, programs Programs, log *slog.Logger) (*Run, error) {
	ctx, cancel := context.WithTimeout(ctx, seconds(s.DeadlineS))
	defer cancel()
	dir, err := os.MkdirTemp("", "hollyyoke-scale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	plan := NewPlan(&s)
	p := &player{
		run:     &Run{Scenario: s, Mechanism: mechanism, Plan: plan},
		cluster: newCluster(&s, plan, mechanism, programs, dir),
		log:     log.With("scenario", s.Name, "mechanism", mechanism),
	}
	defer p.cluster.close()
	if err := p.play(ctx); err != nil {
		return nil, fmt.Errorf("%s by %s: %w", s.Name, mechanism, err)
	}
	return p.run, nil
}

// player makes one run.
type player struct {
	run     *Run
	cluster *cluster
	log     *slog.Logger
	newest  int64 // version
	began   time.Time
}

func (p *player) play(ctx context.Context) error {
	if err := p.cluster.start(); err != nil {
		return err
	}
	// A change that every dispatcher must come to have shows that it follows.
	mark := Change{Host: p.run.Plan.Hosts[0]}
	versions, err := p.cluster.origin.change([][]Change{{mark}})
	if err != nil {
		return err
	}
	p.newest = versions[0].Version
	p.cluster.forget()
	p.run.processes = p.cluster.processes()
	if err := p.ready(ctx); err != nil {
		return err
	}
	if p.run.atStart, err = p.cluster.countOwn(ctx); err != nil {
		return err
	}
	p.began = time.Now()
	p.log.Info("all dispatchers have the list", "workers", len(p.run.Plan.Hosts), "processes", p.run.processes)
	if err := p.look(); err != nil {
		return err
	}
	if err := p.steps(ctx); err != nil {
		return err
	}
	return p.settle(ctx)
}

// ready waits until all dispatchers have the list and rest.
func (p *player) ready(ctx context.Context) error {
	for p.cluster.behind(p.newest) > 0 || p.cluster.heardNothing() > 0 {
		if err := p.cluster.ended(); err != nil {
			return err
		}
		if err := pause(ctx, waitStep); err != nil {
			return fmt.Errorf("waiting for %d hollow and %d real dispatchers: %w", p.cluster.behind(p.newest), p.cluster.heardNothing(), err)
		}
	}
	return pause(ctx, settleTime)
}

func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// until waits until a moment of the run, and looks at the meters meanwhile.
func (p *player) until(ctx context.Context, at time.Duration) error {
	for {
		look := p.run.samples[len(p.run.samples)-1].at.Add(sampleStep)
		due := p.began.Add(at)
		if due.Before(look) {
			return pause(ctx, time.Until(due))
		}
		if err := pause(ctx, time.Until(look)); err != nil {
			return err
		}
		if err := p.look(); err != nil {
			return err
		}
	}
}

// look reads the meters and checks the limits.
func (p *player) look() error {
	s := p.cluster.sample()
	p.run.samples = append(p.run.samples, s)
	if all := s.resident(); all > mostMemory {
		return fmt.Errorf("%d MB resident in all, of %d at the most", all>>20, mostMemory>>20)
	}
	return p.cluster.ended()
}

// steps makes the plan's steps and plays on to the scenario's length.
func (p *player) steps(ctx context.Context) error {
	for _, step := range p.run.Plan.Steps {
		if time.Until(p.began.Add(step.At)) > stepPatience {
			if err := p.until(ctx, step.At); err != nil {
				return err
			}
		}
		if err := p.step(step); err != nil {
			return err
		}
	}
	return p.until(ctx, seconds(p.run.Scenario.LengthS))
}

func (p *player) step(step Step) error {
	if step.Action.Kind != "" {
		if err := p.act(step.Action); err != nil {
			return err
		}
	}
	if len(step.Changes) == 0 {
		return nil
	}
	versions, err := p.cluster.origin.change(step.Changes)
	if err != nil {
		return err
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, v := range versions {
		p.cluster.tracker.make(v.Version, v.At, step.Phase)
		p.newest = v.Version
	}
	return nil
}

// act takes an action, and tells the tracker who can be reached before and after it.
func (p *player) act(a Action) error {
	c := p.cluster
	p.run.acts = append(p.run.acts, act{a.Kind, time.Now()})
	p.log.Info(string(a.Kind), "zone", a.Zone, "region", a.Region)
	switch a.Kind {
	case ZoneLoss:
		p.change(a.Kind, func() { c.network.lostZones[a.Zone] = true })
		c.killRelay(a.Zone)
	case ZoneReturn:
		if c.mechanism == ByRelays {
			if err := c.restartRelay(a.Zone); err != nil {
				return err
			}
		}
		p.change(a.Kind, func() { delete(c.network.lostZones, a.Zone) })
	case RegionCut:
		p.change(a.Kind, func() { c.network.lostRegions[a.Region] = true })
	case RegionHeal:
		p.change(a.Kind, func() { delete(c.network.lostRegions, a.Region) })
	case RelayDown:
		c.killRelay(a.Zone)
	case RelayUp:
		if c.mechanism == ByRelays {
			return c.restartRelay(a.Zone)
		}
	case Restart:
		return p.restart(a)
	}
	return nil
}

// change changes the network.
func (p *player) change(kind Kind, f func()) {
	c := p.cluster
	before := make([]bool, c.scenario.Zones)
	for zone := range before {
		before[zone] = c.network.joined(zone, originZone)
	}
	f()
	c.network.update()
	now := unixNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone := range before {
		after := c.network.joined(zone, originZone)
		for _, name := range c.dispatchers(zone) {
			switch {
			case before[zone] && !after:
				c.tracker.cut(name, now)
			case !before[zone] && after:
				c.tracker.heal(name, now, string(kind), p.newest)
			}
		}
	}
}

func (p *player) restart(a Action) error {
	c, now := p.cluster, unixNow()
	c.mu.Lock()
	for _, name := range c.dispatchers(a.Zone) {
		c.tracker.cut(name, now)
	}
	c.mu.Unlock()
	err := c.restartZone(a.Zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.dispatchers(a.Zone) {
		c.tracker.heal(name, now, string(a.Kind), p.newest)
	}
	return err
}

// settle waits until all reachable dispatchers have the newest version, and ends the run.
func (p *player) settle(ctx context.Context) error {
	for p.cluster.behind(p.newest) > 0 {
		err := p.until(ctx, time.Since(p.began)+sampleStep)
		if ctx.Err() != nil {
			break // the deadline: what is missing is told
		}
		if err != nil {
			return err
		}
	}
	if err := p.look(); err != nil {
		return err
	}
	counting, cancel := context.WithTimeout(context.WithoutCancel(ctx), countPatience)
	defer cancel()
	var err error
	if p.run.atEnd, err = p.cluster.countOwn(counting); err != nil {
		return err
	}
	c := p.cluster
	p.run.unsettled = c.behind(p.newest)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.run.counts = c.counts
	p.run.tracker = &tracker{changes: c.tracker.changes, moments: c.tracker.moments, outages: c.tracker.outages, back: c.tracker.back}
	c.tracker = newTracker() // what is still reported while processes end counts no more
	return nil
}
