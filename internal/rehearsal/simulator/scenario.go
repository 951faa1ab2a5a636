package simulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/decision"
)

// This file owns scenario files: a day as data. A key that is not known, or a
// value that makes no sense, is one line that names it.

// Scenario is one day as its file words it.
type Scenario struct {
	Name        string  `toml:"name"`
	LengthS     float64 `toml:"length_s"`
	Dispatchers int     `toml:"dispatchers"`

	Net struct {
		Zones   []string `toml:"zones"`
		SameMs  float64  `toml:"same_ms"` // one way
		CrossMs float64  `toml:"cross_ms"`
		Jitter  float64  `toml:"jitter"` // at the most, as a share
	} `toml:"net"`
	Discovery struct {
		LagMs float64 `toml:"lag_ms"`
	} `toml:"discovery"`
	Workers struct {
		Count      int     `toml:"count"`
		Slots      int     `toml:"slots"`
		Speed      float64 `toml:"speed"`
		Queue      int     `toml:"queue"`
		ColdFrom   float64 `toml:"cold_from"`
		WarmAfterS float64 `toml:"warm_after_s"`

		// A cold one that is sent more than so many times what it can do, for so long, falls and stays down.
		FallMultiple float64 `toml:"fall_multiple"` // 4 where left out
		FallS        float64 `toml:"fall_s"`        // 1
	} `toml:"workers"`
	Load    Load      `toml:"load"`
	Classes []ClassOf `toml:"class"`
	Faults  []Fault   `toml:"fault"`
}

// Load is what clients ask for.
type Load struct {
	Rate  float64 `toml:"rate_per_s"` // of all dispatchers together
	Tries int     `toml:"tries"`      // of a client, while it has time
	Swing float64 `toml:"swing"`      // the rate goes up and down by this share
	EachS float64 `toml:"swing_each_s"`

	NoHints bool `toml:"no_hints"` // clients do not say how much work a request is
}

// ClassOf is one class of requests.
type ClassOf struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	Repeat     bool    `toml:"repeat"`
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	WorkMs     float64 `toml:"work_ms"`
	Law        string  `toml:"law"` // of the work: exponential (default), constant or lognormal
}

// Fault is one fault, for a time.
type Fault struct {
	Kind        string  `toml:"kind"` // slow, pause, kill, drain, join, burst or restart
	AtS         float64 `toml:"at_s"`
	ForS        float64 `toml:"for_s"`
	Workers     int     `toml:"workers"`     // how many, drawn by the seed
	Zone        string  `toml:"zone"`        // only of this zone; with workers left out: all of it
	Dispatchers int     `toml:"dispatchers"` // of restart: how many, drawn by the seed
	Factor      float64 `toml:"factor"`      // of slow and burst
}

var faultKinds = []string{"slow", "pause", "kill", "drain", "join", "burst", "restart"}

// hitsWorkers tells whether the fault befalls workers; the others befall the dispatchers or the load.
func (f *Fault) hitsWorkers() bool { return f.Kind != "burst" && f.Kind != "restart" }

// ReadScenario reads a scenario file.
func ReadScenario(path string) (sc Scenario, err error) {
	meta, err := toml.DecodeFile(path, &sc)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return sc, errors.New(line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return sc, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := sc.Check(); err != nil {
		return sc, fmt.Errorf("%s: %w", path, err)
	}
	return sc, nil
}

// Check checks a scenario and fills in what it leaves out.
func (sc *Scenario) Check() error {
	for _, x := range []struct {
		key        string
		v, lo, top float64
	}{
		{"length_s", sc.LengthS, 0.001, 86400}, {"dispatchers", float64(sc.Dispatchers), 1, 1000}, {"workers.count", float64(sc.Workers.Count), 1, 10000},
		{"workers.slots", float64(sc.Workers.Slots), 1, 1000}, {"workers.speed", sc.Workers.Speed, 1e-6, 1e6}, {"workers.queue", float64(sc.Workers.Queue), 0, 1e6},
		{"workers.cold_from", sc.Workers.ColdFrom, 0, 1}, {"workers.warm_after_s", sc.Workers.WarmAfterS, 0, 3600},
		{"workers.fall_multiple", sc.Workers.FallMultiple, 0, 1000}, {"workers.fall_s", sc.Workers.FallS, 0, 3600},
		{"load.rate_per_s", sc.Load.Rate, 1e-3, 1e6}, {"load.swing", sc.Load.Swing, 0, 0.99}, {"net.same_ms", sc.Net.SameMs, 0, 1e4}, {"net.cross_ms", sc.Net.CrossMs, 0, 1e4},
		{"net.jitter", sc.Net.Jitter, 0, 100}, {"discovery.lag_ms", sc.Discovery.LagMs, 0, 1e6},
	} {
		if !(x.v >= x.lo && x.v <= x.top) {
			return fmt.Errorf("%s: %g is not between %g and %g", x.key, x.v, x.lo, x.top)
		}
	}
	if len(sc.Net.Zones) == 0 {
		sc.Net.Zones = []string{"here"}
	}
	sc.Load.Tries = max(sc.Load.Tries, 1)
	sc.Workers.FallMultiple, sc.Workers.FallS = cmp.Or(sc.Workers.FallMultiple, 4), cmp.Or(sc.Workers.FallS, 1)
	share := 0.0
	for i, c := range sc.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("class[%d].name: missing", i)
		case c.Share < 0 || c.DeadlineMs <= 0 || c.WorkMs <= 0 || c.AimMs <= 0 || c.Worth < 0:
			return fmt.Errorf("class[%d]: share, worth, aim_ms, deadline_ms and work_ms must be positive", i)
		case c.Law != "" && c.Law != "exponential" && c.Law != "constant" && c.Law != "lognormal":
			return fmt.Errorf("class[%d].law: %q is none of exponential, constant, lognormal", i, c.Law)
		}
		share += c.Share
	}
	if math.Abs(share-1) > 1e-6 {
		return fmt.Errorf("class: the shares add up to %g, not to 1", share)
	}
	for i, f := range sc.Faults {
		switch {
		case !slices.Contains(faultKinds, f.Kind):
			return fmt.Errorf("fault[%d].kind: %q is none of %s", i, f.Kind, strings.Join(faultKinds, ", "))
		case f.Zone != "" && !slices.Contains(sc.Net.Zones, f.Zone):
			return fmt.Errorf("fault[%d].zone: no zone %q", i, f.Zone)
		case f.AtS < 0 || f.ForS < 0 || f.Workers < 0 || f.hitsWorkers() && f.Workers == 0 && f.Zone == "":
			return fmt.Errorf("fault[%d]: at_s and for_s, and workers or a zone are needed", i)
		case f.Kind == "restart" && !(f.Dispatchers > 0 && f.Dispatchers <= sc.Dispatchers):
			return fmt.Errorf("fault[%d].dispatchers: %d is not between 1 and %d", i, f.Dispatchers, sc.Dispatchers)
		case f.Kind == "burst" && !(f.Factor > 0 && f.Factor <= 100):
			return fmt.Errorf("fault[%d].factor: %g is not above 0 and up to 100", i, f.Factor)
		case f.Kind == "slow" && !(f.Factor > 0 && f.Factor <= 1):
			return fmt.Errorf("fault[%d].factor: %g is not above 0 and up to 1", i, f.Factor)
		}
	}
	return nil
}

// settings are what each dispatcher is told.
func (sc *Scenario) settings() (s decision.Settings) {
	for _, c := range sc.Classes {
		k := decision.Class{Name: c.Name, PriorityWeight: c.Worth, LateWeight: c.LateWorth, LatencyObjective: seconds(c.AimMs / 1000), Deadline: seconds(c.DeadlineMs / 1000)}
		if !c.Repeat {
			k.Idempotency = decision.NonIdempotent
		}
		s.Classes = append(s.Classes, k)
	}
	s.Peers, s.Tick, s.ZoneNames, s.KindNames = sc.Dispatchers, 2*time.Millisecond, sc.Net.Zones, []string{"m"}
	s.ListBySubscription, s.ListPollInterval = true, 10*time.Second
	s.SlowStartFloor, s.SlowStartDuration = sc.Workers.ColdFrom, seconds(sc.Workers.WarmAfterS)
	s.OverloadMultiple, s.OverloadWindow = sc.Workers.FallMultiple, seconds(sc.Workers.FallS)
	s.MaxAttempts, s.Hedging, s.Cancellation, s.HealthChecks = 3, true, true, true
	s.MaxRetryAfter, s.ConnectTimeout = 2*time.Second, 250*time.Millisecond
	s.StartNotices, s.StartsInOrder = true, true
	s.FreeSlots, s.DrainGrace = "x0", 500*time.Millisecond
	return s
}

// meanWork is the mean work of all requests, in seconds.
func (sc *Scenario) meanWork() (mean float64) {
	for _, c := range sc.Classes {
		mean += c.Share * c.WorkMs / 1000
	}
	return mean
}

// work draws a request's work.
func (c *ClassOf) work(random *rand.Rand) time.Duration {
	mean := c.WorkMs / 1000
	switch c.Law {
	case "constant":
	case "lognormal": // of sigma 1, with that mean
		mean *= math.Exp(random.NormFloat64() - 0.5)
	default:
		mean *= random.ExpFloat64()
	}
	return max(seconds(mean), time.Microsecond)
}

// rateAt is the rate of arrivals at a moment of the run, where it is rate on average without bursts.
func (sc *Scenario) rateAt(at time.Duration, rate float64) float64 {
	if l := &sc.Load; l.EachS > 0 {
		rate *= 1 + l.Swing*math.Sin(2*math.Pi*at.Seconds()/l.EachS)
	}
	for _, f := range sc.Faults {
		if f.Kind == "burst" && at >= seconds(f.AtS) && at < seconds(f.AtS+f.ForS) {
			rate *= f.Factor
		}
	}
	return rate
}
