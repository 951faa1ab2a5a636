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

// This file owns what happens when: the workers listed at the start and all
// steps of a run, from the seed alone. It must never look at a clock.

// Action is what a step does besides changes of the list.
type Action struct {
	Kind   Kind // "": nothing
	Zone   int
	Region int
}

// Step is one step of a run: changes, each of which is told as one version, or an action.
type Step struct {
	At      time.Duration
	Phase   string // what its changes are counted under
	Changes [][]Change
	Action  Action
}

// Change is a worker's new entry. One that is fresh starts when it is told.
type Change struct {
	Host  standin.Host
	Fresh bool
}

// Plan is a whole run.
type Plan struct {
	Hosts []standin.Host
	Steps []Step
	Zones []string
}

// Changes is how many versions the plan makes.
func (p *Plan) Changes() (n int) {
	for _, step := range p.Steps {
		n += len(step.Changes)
	}
	return n
}

// ZoneName is the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("z%02d", zone+1) }

// RegionOf is the region that a zone lies in: neighbours share one.
func RegionOf(zone, zones, regions int) int { return zone * regions / zones }

// phaseCalm is where changes count until an event has happened.
const phaseCalm = "calm"

const (
	machineSlots   = 4
	restartTakes   = 2 * time.Second // of a worker, from draining to its return
	failureTakes   = 4 * time.Second // of a failed worker, until its replacement
	workersPerRack = 40
)

// NewPlan makes the plan of a scenario.
func NewPlan(s *Scenario) *Plan {
	b := &planner{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), plan: &Plan{}}
	for zone := range s.Zones {
		b.plan.Zones = append(b.plan.Zones, ZoneName(zone))
	}
	b.listWorkers()
	for _, event := range s.Events {
		b.addEvent(event)
	}
	b.addDay()
	b.sort()
	return b.plan
}

type planner struct {
	scenario *Scenario
	random   *rand.Rand
	plan     *Plan
	byZone   [][]int // hosts by zone, as indices
}

func (b *planner) listWorkers() {
	s := b.scenario
	b.byZone = make([][]int, s.Zones)
	for i := range s.Workers {
		zone := i % s.Zones
		rack := len(b.byZone[zone]) / workersPerRack
		b.byZone[zone] = append(b.byZone[zone], i)
		b.plan.Hosts = append(b.plan.Hosts, standin.Host{
			Host:   fmt.Sprintf("s-%08x", b.random.Uint32()&^0xffff|uint32(i)),
			Dial:   fmt.Sprintf("127.%d.%d.%d:8080", 64+i>>16, i>>8&255, i&255),
			Site:   ZoneName(zone),
			Class:  "standard",
			Block:  rack,
			Health: "ready",
			Share:  1,
		})
	}
}

// spread puts one change each at even distances into a span.
func (b *planner) spread(phase string, at, over time.Duration, changes []Change) {
	for i, change := range changes {
		offset := time.Duration(0)
		if len(changes) > 1 {
			offset = over * time.Duration(i) / time.Duration(len(changes))
		}
		b.add(Step{At: at + offset, Phase: phase, Changes: [][]Change{{change}}})
	}
}

func (b *planner) add(step Step) { b.plan.Steps = append(b.plan.Steps, step) }

func (b *planner) gone(worker int) Change {
	host := b.plan.Hosts[worker]
	host.Health = "gone"
	return Change{Host: host}
}

func (b *planner) draining(worker int) Change {
	host := b.plan.Hosts[worker]
	host.Health = "draining"
	return Change{Host: host}
}

func (b *planner) fresh(worker int) Change { return Change{Host: b.plan.Hosts[worker], Fresh: true} }

// reweighed changes a worker's share.
func (b *planner) reweighed(worker int) Change {
	host := b.plan.Hosts[worker]
	host.Share = float64(50+b.random.IntN(100)) / 100
	return Change{Host: host}
}

func each(workers []int, change func(int) Change) (changes []Change) {
	for _, worker := range workers {
		changes = append(changes, change(worker))
	}
	return changes
}

func (b *planner) draw(n int) []int {
	n = min(n, b.scenario.Workers)
	return b.random.Perm(b.scenario.Workers)[:n]
}

func (b *planner) addEvent(e Event) {
	at, over := seconds(e.AtS), seconds(e.OverS)
	phase := string(e.Kind)
	act := Action{Kind: e.Kind, Zone: e.Zone, Region: e.Region}
	switch e.Kind {
	case Rack:
		lost := b.byZone[e.Zone][:min(e.Count, len(b.byZone[e.Zone]))]
		b.add(Step{At: at, Phase: phase, Changes: [][]Change{each(lost, b.gone)}})
		if e.ForS > 0 {
			b.spread("rack_return", at+seconds(e.ForS), over, each(lost, b.fresh))
		}
	case ZoneLoss:
		b.add(Step{At: at, Phase: phase, Action: act})
		b.spread(phase, at, over, each(b.byZone[e.Zone], b.gone))
	case ZoneReturn:
		b.add(Step{At: at, Phase: phase, Action: act})
		b.spread(phase, at, over, each(b.byZone[e.Zone], b.fresh))
	case Changes:
		var changes []Change
		for range e.Count {
			changes = append(changes, b.reweighed(b.random.IntN(b.scenario.Workers)))
		}
		b.spread(phase, at, over, changes)
	case Cold:
		b.add(Step{At: at, Phase: phase, Changes: [][]Change{each(b.draw(e.Count), b.fresh)}})
	default:
		b.add(Step{At: at, Phase: phase, Action: act})
	}
}

// addDay adds what goes on all the time. A worker that is away for an event is
// not touched, so that each worker's entries follow from one cause.
func (b *planner) addDay() {
	day := b.scenario.Day
	free := b.untouched()
	if len(free) == 0 {
		return
	}
	pick := func() int { return free[b.random.IntN(len(free))] }
	b.poisson(day.Changes, func(at time.Duration) {
		b.add(Step{At: at, Changes: [][]Change{{b.reweighed(pick())}}})
	})
	b.poisson(day.Failures, func(at time.Duration) {
		worker := pick()
		b.add(Step{At: at, Changes: [][]Change{{b.gone(worker)}}})
		b.add(Step{At: at + failureTakes, Changes: [][]Change{{b.fresh(worker)}}})
	})
	b.poisson(day.Restarts, func(at time.Duration) {
		worker := pick()
		b.add(Step{At: at, Changes: [][]Change{{b.draining(worker)}}})
		b.add(Step{At: at + restartTakes, Changes: [][]Change{{b.fresh(worker)}}})
	})
}

func (b *planner) untouched() (free []int) {
	lost := map[string]bool{}
	for _, step := range b.plan.Steps {
		for _, change := range step.Changes {
			for _, c := range change {
				if c.Host.Health == "gone" {
					lost[c.Host.Host] = true
				}
			}
		}
	}
	for i, host := range b.plan.Hosts {
		if !lost[host.Host] {
			free = append(free, i)
		}
	}
	return free
}

// poisson calls add at random times, so many on average in a day.
func (b *planner) poisson(perDay float64, add func(at time.Duration)) {
	rate := perDay * b.scenario.Day.Factor / (24 * time.Hour).Seconds()
	if rate <= 0 {
		return
	}
	length := seconds(b.scenario.LengthS)
	for at := seconds(b.random.ExpFloat64() / rate); at < length; at += seconds(b.random.ExpFloat64() / rate) {
		add(at)
	}
}

// sort orders the steps and names the phase of each that has none: that of the
// latest event before it.
func (b *planner) sort() {
	steps := b.plan.Steps
	slices.SortStableFunc(steps, func(x, y Step) int {
		// An event's action comes before changes of the same moment.
		return cmp.Or(cmp.Compare(x.At, y.At), -strings.Compare(string(x.Action.Kind), string(y.Action.Kind)))
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
