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

// Action is what a step does besides changes of the list.
type Action struct {
	Kind   EventKind // empty: none
	Zone   int
	Region int
}

// Step is one step of a run: changes, each of which becomes one version, or an action.
type Step struct {
	DueAt   time.Duration
	Phase   string // under which its changes are counted
	Changes [][]Change
	Action  Action
}

// Change is a worker's new entry. A worker that has just started gets the time of the change as its start. The JSON
// keys are those of messages to the origin process.
type Change struct {
	Host        standin.Host `json:"Host"`
	JustStarted bool         `json:"Fresh"`
}

// Plan has the workers listed at the start and all steps of a run. It follows from the scenario and its seed alone.
type Plan struct {
	Hosts []standin.Host
	Steps []Step
	Zones []string
}

// Changes returns how many versions the plan makes.
func (p *Plan) Changes() (count int) {
	for _, step := range p.Steps {
		count += len(step.Changes)
	}
	return count
}

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone+1) }

// RegionOf returns the region of a zone. Neighbouring zones share one.
func RegionOf(zone, zones, regions int) int { return zone * regions / zones }

// phaseCalm is the phase of changes before the first event.
const phaseCalm = "calm"

const (
	machineSlots    = 4
	restartTime     = 2 * time.Second // of a worker, from draining to its return
	replacementTime = 4 * time.Second // of a failed worker, until its replacement
	workersPerRack  = 40
)

// NewPlan makes the plan of a scenario.
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

// planner makes a plan.
type planner struct {
	scenario      *Scenario
	random        *rand.Rand
	plan          *Plan
	workersByZone [][]int // indices into plan.Hosts
}

// listWorkers draws the workers listed at the start.
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

// spread adds one step for each change, at even distances within a period.
func (p *planner) spread(phase string, begin, period time.Duration, changes []Change) {
	for i, change := range changes {
		offset := time.Duration(0)
		if len(changes) > 1 {
			offset = period * time.Duration(i) / time.Duration(len(changes))
		}
		p.add(Step{DueAt: begin + offset, Phase: phase, Changes: [][]Change{{change}}})
	}
}

func (p *planner) add(step Step) { p.plan.Steps = append(p.plan.Steps, step) }

// remove returns the change that removes a worker.
func (p *planner) remove(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Health = standin.HealthGone
	return Change{Host: host}
}

// drain returns the change that sets a worker to draining.
func (p *planner) drain(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Health = standin.HealthDraining
	return Change{Host: host}
}

// start returns the change that lists a worker as just started.
func (p *planner) start(worker int) Change {
	return Change{Host: p.plan.Hosts[worker], JustStarted: true}
}

// reweight returns the change of a worker's share to a random one.
func (p *planner) reweight(worker int) Change {
	host := p.plan.Hosts[worker]
	host.Share = float64(50+p.random.IntN(100)) / 100
	return Change{Host: host}
}

// changesOf returns a change for each worker.
func changesOf(workers []int, change func(int) Change) (changes []Change) {
	for _, worker := range workers {
		changes = append(changes, change(worker))
	}
	return changes
}

// drawWorkers draws different workers.
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
	case Rack:
		lost := p.workersByZone[event.Zone][:min(event.Count, len(p.workersByZone[event.Zone]))]
		p.add(Step{DueAt: begin, Phase: phase, Changes: [][]Change{changesOf(lost, p.remove)}})
		if event.ForS > 0 {
			p.spread("rack_return", begin+seconds(event.ForS), period, changesOf(lost, p.start))
		}
	case ZoneLoss:
		p.add(Step{DueAt: begin, Phase: phase, Action: action})
		p.spread(phase, begin, period, changesOf(p.workersByZone[event.Zone], p.remove))
	case ZoneReturn:
		p.add(Step{DueAt: begin, Phase: phase, Action: action})
		p.spread(phase, begin, period, changesOf(p.workersByZone[event.Zone], p.start))
	case Changes:
		var changes []Change
		for range event.Count {
			changes = append(changes, p.reweight(p.random.IntN(p.scenario.Workers)))
		}
		p.spread(phase, begin, period, changes)
	case WorkerStarts:
		p.add(Step{DueAt: begin, Phase: phase, Changes: [][]Change{changesOf(p.drawWorkers(event.Count), p.start)}})
	default:
		p.add(Step{DueAt: begin, Phase: phase, Action: action})
	}
}

// addBackground adds the changes that happen all the time. They leave out workers that an event removes, so that each
// worker's entries follow from one cause.
func (p *planner) addBackground() {
	background := p.scenario.Background
	candidates := p.neverRemoved()
	if len(candidates) == 0 {
		return
	}
	pick := func() int { return candidates[p.random.IntN(len(candidates))] }
	p.poisson(background.Changes, func(at time.Duration) {
		p.add(Step{DueAt: at, Changes: [][]Change{{p.reweight(pick())}}})
	})
	p.poisson(background.Failures, func(at time.Duration) {
		worker := pick()
		p.add(Step{DueAt: at, Changes: [][]Change{{p.remove(worker)}}})
		p.add(Step{DueAt: at + replacementTime, Changes: [][]Change{{p.start(worker)}}})
	})
	p.poisson(background.Restarts, func(at time.Duration) {
		worker := pick()
		p.add(Step{DueAt: at, Changes: [][]Change{{p.drain(worker)}}})
		p.add(Step{DueAt: at + restartTime, Changes: [][]Change{{p.start(worker)}}})
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

// poisson calls add at the times of a Poisson process with a rate per day.
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

// finish sorts the steps and sets the phase of each that has none to that of the latest event before it.
func (p *planner) finish() {
	steps := p.plan.Steps
	slices.SortStableFunc(steps, func(a, b Step) int {
		// An event's action comes before changes at the same time.
		return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), -strings.Compare(string(a.Action.Kind), string(b.Action.Kind)))
	})
	phase := phaseCalm
	for i := range steps {
		if steps[i].Phase == "" {
			steps[i].Phase = phase
		} else {
			phase = steps[i].Phase
		}
	}
}
