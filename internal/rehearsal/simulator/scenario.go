package simulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/rehearsal/rangecheck"
	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

const (
	defaultZone             = "here"
	defaultOverloadMultiple = 4
	defaultOverloadWindowS  = 1
	maxBurstFactor          = 100
	maxShareError           = 1e-6 // largest deviation from 1 of the sum of the classes' shares
)

// Scenario describes a run, as read from a TOML file. The suffix of a duration's name is its unit.
type Scenario struct {
	Name        string  `toml:"name"`
	LengthS     float64 `toml:"length_s"`
	Dispatchers int     `toml:"dispatchers"`

	Net       Network         `toml:"net"`
	Discovery Discovery       `toml:"discovery"`
	Workers   Workers         `toml:"workers"`
	Load      Load            `toml:"load"`
	Classes   []ScenarioClass `toml:"class"`
	Faults    []Fault         `toml:"fault"`
}

// Network describes the zones and the one-way delays between them.
type Network struct {
	Zones   []string `toml:"zones"`
	SameMs  float64  `toml:"same_ms"`  // delay within a zone
	CrossMs float64  `toml:"cross_ms"` // delay between zones
	Jitter  float64  `toml:"jitter"`   // largest random addition to a delay, as a share of it
}

// Discovery describes the service that announces workers.
type Discovery struct {
	LagMs float64 `toml:"lag_ms"`
}

// Workers describes the workers, which are all alike.
type Workers struct {
	Count              int     `toml:"count"`
	Slots              int     `toml:"slots"`
	Speed              float64 `toml:"speed"` // seconds of work that a slot does per second
	Queue              int     `toml:"queue"`
	SlowStartFloor     float64 `toml:"cold_from"`    // share of the speed that a worker has right after its start
	SlowStartDurationS float64 `toml:"warm_after_s"` // time from the start until the full speed is reached

	// A warming worker crashes for good when the work sent to it within the window exceeds this multiple of what
	// it can do in that time.
	OverloadMultiple float64 `toml:"fall_multiple"` // default 4
	OverloadWindowS  float64 `toml:"fall_s"`        // default 1
}

// Load describes the clients' requests.
type Load struct {
	Rate         float64 `toml:"rate_per_s"`   // requests of all dispatchers' clients together
	MaxAttempts  int     `toml:"tries"`        // most attempts that a client makes for a request, within its deadline
	Swing        float64 `toml:"swing"`        // amplitude of a sine wave that modulates the rate, as a share of it
	SwingPeriodS float64 `toml:"swing_each_s"` // period of that sine wave

	NoHints bool `toml:"no_hints"` // clients do not state the work of a request
}

// The distributions of the work of requests.
const (
	Exponential = "exponential" // the default
	Constant    = "constant"
	Lognormal   = "lognormal" // with a sigma of 1
)

// ScenarioClass describes one class of requests.
type ScenarioClass struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`  // of all requests
	Idempotent     bool    `toml:"repeat"` // the requests may be executed more than once
	PriorityWeight float64 `toml:"worth"`
	LateWeight     float64 `toml:"late_worth"` // share of the weight that a late answer earns
	ObjectiveMs    float64 `toml:"aim_ms"`     // latency objective
	DeadlineMs     float64 `toml:"deadline_ms"`
	WorkMs         float64 `toml:"work_ms"` // mean
	Distribution   string  `toml:"law"`     // of the work; default exponential
}

// ReadScenario reads and checks a scenario file. An error is one line that names the key at fault.
func ReadScenario(path string) (scenario Scenario, err error) {
	err = tomlfile.ReadChecked(path, &scenario)
	return scenario, err
}

// Check checks a scenario and sets the defaults of absent keys.
func (s *Scenario) Check() error {
	if err := s.checkRanges(); err != nil {
		return err
	}
	s.setDefaults()
	if err := s.checkClasses(); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

// checkRanges checks the numbers outside of the lists of classes and faults.
func (s *Scenario) checkRanges() error {
	return cmp.Or(
		rangecheck.Between("length_s", s.LengthS, 0.001, 86400),
		rangecheck.Between("dispatchers", float64(s.Dispatchers), 1, 1000),
		rangecheck.Between("workers.count", float64(s.Workers.Count), 1, 10000),
		rangecheck.Between("workers.slots", float64(s.Workers.Slots), 1, 1000),
		rangecheck.Between("workers.speed", s.Workers.Speed, 1e-6, 1e6),
		rangecheck.Between("workers.queue", float64(s.Workers.Queue), 0, 1e6),
		rangecheck.Between("workers.cold_from", s.Workers.SlowStartFloor, 0, 1),
		rangecheck.Between("workers.warm_after_s", s.Workers.SlowStartDurationS, 0, 3600),
		rangecheck.Between("workers.fall_multiple", s.Workers.OverloadMultiple, 0, 1000),
		rangecheck.Between("workers.fall_s", s.Workers.OverloadWindowS, 0, 3600),
		rangecheck.Between("load.rate_per_s", s.Load.Rate, 1e-3, 1e6),
		rangecheck.Between("load.swing", s.Load.Swing, 0, 0.99),
		rangecheck.Between("net.same_ms", s.Net.SameMs, 0, 1e4),
		rangecheck.Between("net.cross_ms", s.Net.CrossMs, 0, 1e4),
		rangecheck.Between("net.jitter", s.Net.Jitter, 0, 100),
		rangecheck.Between("discovery.lag_ms", s.Discovery.LagMs, 0, 1e6),
	)
}

func (s *Scenario) setDefaults() {
	if len(s.Net.Zones) == 0 {
		s.Net.Zones = []string{defaultZone}
	}
	s.Load.MaxAttempts = max(s.Load.MaxAttempts, 1)
	s.Workers.OverloadMultiple = cmp.Or(s.Workers.OverloadMultiple, defaultOverloadMultiple)
	s.Workers.OverloadWindowS = cmp.Or(s.Workers.OverloadWindowS, defaultOverloadWindowS)
}

func (s *Scenario) checkClasses() error {
	distributions := []string{"", Exponential, Constant, Lognormal}
	shareSum := 0.0
	for i, class := range s.Classes {
		switch {
		case class.Name == "":
			return fmt.Errorf("class[%d].name: missing", i)
		case class.Share < 0 || class.DeadlineMs <= 0 || class.WorkMs <= 0 || class.ObjectiveMs <= 0 || class.PriorityWeight < 0:
			return fmt.Errorf("class[%d]: share, worth, aim_ms, deadline_ms and work_ms must be positive", i)
		case !slices.Contains(distributions, class.Distribution):
			return fmt.Errorf("class[%d].law: %q is none of exponential, constant, lognormal", i, class.Distribution)
		}
		shareSum += class.Share
	}
	if math.Abs(shareSum-1) > maxShareError {
		return fmt.Errorf("class: the shares add up to %g, not to 1", shareSum)
	}
	return nil
}

func (s *Scenario) checkFault(number int) error {
	fault := &s.Faults[number]
	unspecified := fault.affectsWorkers() && fault.Workers == 0 && fault.Zone == ""
	switch {
	case !slices.Contains(faultKinds, fault.Kind):
		return fmt.Errorf("fault[%d].kind: %q is none of %s", number, fault.Kind, faultKindNames())
	case fault.Zone != "" && !slices.Contains(s.Net.Zones, fault.Zone):
		return fmt.Errorf("fault[%d].zone: no zone %q", number, fault.Zone)
	case fault.AtS < 0 || fault.ForS < 0 || fault.Workers < 0 || unspecified:
		return fmt.Errorf("fault[%d]: at_s and for_s, and workers or a zone are needed", number)
	case fault.Kind == FaultRestart && !(fault.Dispatchers > 0 && fault.Dispatchers <= s.Dispatchers):
		return fmt.Errorf("fault[%d].dispatchers: %d is not between 1 and %d", number, fault.Dispatchers, s.Dispatchers)
	case fault.Kind == FaultBurst && !(fault.Factor > 0 && fault.Factor <= maxBurstFactor):
		return fmt.Errorf("fault[%d].factor: %g is not above 0 and up to %d", number, fault.Factor, maxBurstFactor)
	case fault.Kind == FaultSlow && !(fault.Factor > 0 && fault.Factor <= 1):
		return fmt.Errorf("fault[%d].factor: %g is not above 0 and up to 1", number, fault.Factor)
	}
	return nil
}

// settings returns the settings that every dispatcher is created with, except for its zone.
func (s *Scenario) settings() decision.Settings {
	settings := decision.Settings{
		Peers:              s.Dispatchers,
		Tick:               2 * time.Millisecond,
		ZoneNames:          s.Net.Zones,
		KindNames:          []string{"m"},
		ListBySubscription: true,
		ListPollInterval:   10 * time.Second,
		SlowStartFloor:     s.Workers.SlowStartFloor,
		SlowStartDuration:  seconds(s.Workers.SlowStartDurationS),
		OverloadMultiple:   s.Workers.OverloadMultiple,
		OverloadWindow:     seconds(s.Workers.OverloadWindowS),
		MaxAttempts:        3,
		Hedging:            true,
		Cancellation:       true,
		HealthChecks:       true,
		MaxRetryAfter:      2 * time.Second,
		ConnectTimeout:     250 * time.Millisecond,
		StartNotices:       true,
		StartsInOrder:      true,
		FreeSlotsField:     "x0",
		DrainGrace:         500 * time.Millisecond,
	}
	for _, scenarioClass := range s.Classes {
		class := decision.Class{
			Name:             scenarioClass.Name,
			PriorityWeight:   scenarioClass.PriorityWeight,
			LateWeight:       scenarioClass.LateWeight,
			LatencyObjective: seconds(scenarioClass.ObjectiveMs / 1000),
			Deadline:         seconds(scenarioClass.DeadlineMs / 1000),
		}
		if !scenarioClass.Idempotent {
			class.Idempotency = decision.NonIdempotent
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// meanWork is the mean work of all requests, in seconds.
func (s *Scenario) meanWork() float64 {
	mean := 0.0
	for _, class := range s.Classes {
		mean += class.Share * class.WorkMs / 1000
	}
	return mean
}

// classAt returns the number of the class for a uniform draw from [0, 1), by the classes' shares.
func (s *Scenario) classAt(draw float64) int {
	number := 0
	for i, class := range s.Classes {
		number = i
		if draw < class.Share {
			break
		}
		draw -= class.Share
	}
	return number
}

// drawWork draws a request's work.
func (c *ScenarioClass) drawWork(random *rand.Rand) time.Duration {
	mean := c.WorkMs / 1000
	switch c.Distribution {
	case Constant:
	case Lognormal: // exp(N(-1/2, 1)) has a mean of 1
		mean *= math.Exp(random.NormFloat64() - 0.5)
	default:
		mean *= random.ExpFloat64()
	}
	return max(seconds(mean), time.Microsecond)
}

// rateAt returns the rate of arrivals when a time has elapsed since the start of the run. meanRate is the average rate
// without bursts.
func (s *Scenario) rateAt(elapsed time.Duration, meanRate float64) float64 {
	rate := meanRate
	if load := &s.Load; load.SwingPeriodS > 0 {
		rate *= 1 + load.Swing*math.Sin(2*math.Pi*elapsed.Seconds()/load.SwingPeriodS)
	}
	for _, fault := range s.Faults {
		active := elapsed >= seconds(fault.AtS) && elapsed < seconds(fault.AtS+fault.ForS)
		if fault.Kind == FaultBurst && active {
			rate *= fault.Factor
		}
	}
	return rate
}
