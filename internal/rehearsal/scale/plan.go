package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Action is what a step does apart from changes of the endpoint list: a fault, or its repair.
type Action struct {
	Kind   EventKind // empty if the step has no action
	Zone   int
	Region int
}

// Step is one step of a run: an action, or lists of changes, each of which is published as one version.
type Step struct {
	DueAt   time.Duration
	Phase   string // the phase to which figures assign its changes
	Changes [][]Change
	Action  Action
}

// Change is a worker's new entry in the endpoint list. A worker that has just started gets the time of the change as its
// start time. The JSON keys are those of messages to the origin process.
type Change struct {
	Host        standin.Host `json:"Host"`
	JustStarted bool         `json:"Fresh"`
}

// Plan holds the workers listed at the start and all steps of a run. The same scenario with the same seed always gives the
// same plan.
type Plan struct {
	Hosts []standin.Host
	Steps []Step
	Zones []string // names
}

// VersionCount returns the number of versions that the steps of the plan publish.
func (p *Plan) VersionCount() (count int) {
	for _, step := range p.Steps {
		count += len(step.Changes)
	}
	return count
}

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone+1) }

// RegionOf returns the region of a zone. Zones with consecutive numbers share a region.
func RegionOf(zone, zones, regions int) int { return zone * regions / zones }

// initialPhase is the name of the phase before the first event.
const initialPhase = "calm"

const (
	workerSlots     = 4
	restartTime     = 2 * time.Second // from the drain of a worker until it has restarted
	replacementTime = 4 * time.Second // from the failure of a worker until it is replaced
	workersPerRack  = 40
)

// NewPlan returns the plan of a scenario.
func NewPlan(scenario *Scenario) *Plan {
	planner := &planner{scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), plan: &Plan{}}
	for zone := range scenario.Zones {
		planner.plan.Zones = append(planner.plan.Zones, ZoneName(zone))
	}
	planner.listWorkers()
	for _, event := range scenario.Events {
		planner.addEvent(event)
	}
	planner.addBackground()
	planner.finish()
	return planner.plan
}

// planner builds a plan.
type planner struct {
	scenario      *Scenario
	random        *rand.Rand
	plan          *Plan
	workersByZone [][]int // indices into plan.Hosts
}

// listWorkers adds the workers that are listed at the start, with random names.
func (p *planner) listWorkers() {
	scenario := p.scenario
	p.workersByZone = make([][]int, scenario.Zones)
	for i := range scenario.Workers {
		zone := i % scenario.Zones
		rack := len(p.workersByZone[zone]) / workersPerRack
		p.workersByZone[zone] = append(p.workersByZone[zone], i)
		p.plan.Hosts = append(p.plan.Hosts, standin.Host{
			Host:   fmt.Sprintf("s-%08x", p.random.Uint32()&^0xffff|uint32(i)),
			Dial:   fmt.Sprintf("127.%d.%d.%d:8080", 64+i>>16, i>>8&255, i&255),
			Site:   ZoneName(zone),
			Class:  "standard",
			Block:  rack,
			Health: standin.HealthReady,
			Share:  1,
		})
	}
}

// addSpread adds one step for each change. The steps are spread at even intervals over a period.
func (p *planner) addSpread(phase string, begin, period time.Duration, changes []Change) {
	for i, change := range changes {
		offset := time.Duration(0)
		if len(changes) > 1 {
			offset = period * time.Duration(i) / time.Duration(len(changes))
		}
		p.addStep(Step{DueAt: begin + offset, Phase: phase, Changes: [][]Change{{change}}})
	}
}

func (p *planner) addStep(step Step) { p.plan.Steps = append(p.plan.Steps, step) }

// removalOf returns the change that removes a worker.
func (p *planner) removalOf(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Health = standin.HealthGone
	return Change{Host: host}
}

// drainOf returns the change that marks a worker as draining.
func (p *planner) drainOf(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Health = standin.HealthDraining
	return Change{Host: host}
}

// startOf returns the change that lists a worker as just started.
func (p *planner) startOf(worker int) Change {
	return Change{Host: p.plan.Hosts[worker], JustStarted: true}
}

// shareChangeOf returns the change that gives a worker a random share.
func (p *planner) shareChangeOf(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Share = float64(50+p.random.IntN(100)) / 100
	return Change{Host: host}
}

// changesOf returns one change for each worker, which it gets by calling change with the worker's index.
func changesOf(workers []int, change func(int) Change) (changes []Change) {
	for _, worker := range workers {
		changes = append(changes, change(worker))
	}
	return changes
}

// drawWorkers returns distinct random workers: count of them, or all if there are fewer.
func (p *planner) drawWorkers(count int) []int {
	count = min(count, p.scenario.Workers)
	return p.random.Perm(p.scenario.Workers)[:count]
}

// addEvent adds the steps of an event.
func (p *planner) addEvent(event Event) {
	begin := seconds(event.AtS)
	period := seconds(event.OverS)
	phase := string(event.Kind)
	action := Action{Kind: event.Kind, Zone: event.Zone, Region: event.Region}
	switch event.Kind {
	case RackLoss:
		lost := p.workersByZone[event.Zone][:min(event.Count, len(p.workersByZone[event.Zone]))]
		p.addStep(Step{DueAt: begin, Phase: phase, Changes: [][]Change{changesOf(lost, p.removalOf)}})
		if event.ForS > 0 {
			p.addSpread("rack_return", begin+seconds(event.ForS), period, changesOf(lost, p.startOf))
		}
	case ZoneLoss:
		p.addStep(Step{DueAt: begin, Phase: phase, Action: action})
		p.addSpread(phase, begin, period, changesOf(p.workersByZone[event.Zone], p.removalOf))
	case ZoneReturn:
		p.addStep(Step{DueAt: begin, Phase: phase, Action: action})
		p.addSpread(phase, begin, period, changesOf(p.workersByZone[event.Zone], p.startOf))
	case ShareChanges:
		var changes []Change
		for range event.Count {
			changes = append(changes, p.shareChangeOf(p.random.IntN(p.scenario.Workers)))
		}
		p.addSpread(phase, begin, period, changes)
	case WorkerStarts:
		p.addStep(Step{DueAt: begin, Phase: phase, Changes: [][]Change{changesOf(p.drawWorkers(event.Count), p.startOf)}})
	default:
		p.addStep(Step{DueAt: begin, Phase: phase, Action: action})
	}
}

// addBackground adds the changes that happen throughout the run. It leaves out workers that an event removes, so that
// background changes and events never change the same worker in conflicting ways.
func (p *planner) addBackground() {
	background := p.scenario.Background
	candidates := p.neverRemoved()
	if len(candidates) == 0 {
		return
	}
	drawWorker := func() int { return candidates[p.random.IntN(len(candidates))] }
	p.poisson(background.Changes, func(at time.Duration) {
		p.addStep(Step{DueAt: at, Changes: [][]Change{{p.shareChangeOf(drawWorker())}}})
	})
	p.poisson(background.Failures, func(at time.Duration) {
		worker := drawWorker()
		p.addStep(Step{DueAt: at, Changes: [][]Change{{p.removalOf(worker)}}})
		p.addStep(Step{DueAt: at + replacementTime, Changes: [][]Change{{p.startOf(worker)}}})
	})
	p.poisson(background.Restarts, func(at time.Duration) {
		worker := drawWorker()
		p.addStep(Step{DueAt: at, Changes: [][]Change{{p.drainOf(worker)}}})
		p.addStep(Step{DueAt: at + restartTime, Changes: [][]Change{{p.startOf(worker)}}})
	})
}

// neverRemoved returns the workers that no event removes.
func (p *planner) neverRemoved() (candidates []int) {
	removed := map[string]bool{}
	for _, step := range p.plan.Steps {
		for _, change := range slices.Concat(step.Changes...) {
			if change.Host.Health == standin.HealthGone {
				removed[change.Host.Host] = true
			}
		}
	}
	for i, host := range p.plan.Hosts {
		if !removed[host.Host] {
			candidates = append(candidates, i)
		}
	}
	return candidates
}

// poisson calls add for each time of a Poisson process with a mean of perDay events per day, sped up by the time factor.
func (p *planner) poisson(perDay float64, add func(at time.Duration)) {
	rate := perDay * p.scenario.Background.TimeFactor / (24 * time.Hour).Seconds()
	if rate <= 0 {
		return
	}
	length := seconds(p.scenario.LengthS)
	interval := func() time.Duration { return seconds(p.random.ExpFloat64() / rate) }
	for at := interval(); at < length; at += interval() {
		add(at)
	}
}

// finish sorts the steps by time, and sets the phase of each background step to that of the latest event before it, or to
// initialPhase if there is none.
func (p *planner) finish() {
	steps := p.plan.Steps
	slices.SortStableFunc(steps, func(a, b Step) int {
		// An event's action comes before changes at the same time.
		return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), -strings.Compare(string(a.Action.Kind), string(b.Action.Kind)))
	})
	phase := initialPhase
	for i := range steps {
		if steps[i].Phase == "" {
			steps[i].Phase = phase
		} else {
			phase = steps[i].Phase
		}
	}
}
