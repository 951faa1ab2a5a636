package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/net"
	"hollyyoke.example/hollyyoke/internal/platform"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// This file owns the process that holds hollow dispatchers. Each has the real
// core, module and watch; what it lacks is clients and workers. All of a process
// share one loop and one engine, as a core and its parts do in a daemon.

// hollowConfig is the first line that the process reads.
type hollowConfig struct {
	Settings    json.RawMessage    `json:"settings"`
	Zone        string             `json:"zone"`
	Seed        uint64             `json:"seed"`
	MemoryMB    float64            `json:"memory_mb"` // of each dispatcher
	Dispatchers []hollowDispatcher `json:"dispatchers"`
	Traffic     Traffic            `json:"traffic"`
}

// hollowDispatcher is one of them and where it hears of changes.
type hollowDispatcher struct {
	Name      string              `json:"name"`
	Discovery string              `json:"discovery,omitempty"` // empty: the servers are followed
	Servers   []membership.Server `json:"servers,omitempty"`
}

// hollowReport is a line that the process writes.
type hollowReport struct {
	Applied []hollowApplied `json:"applied,omitempty"`
	Traffic *trafficCounts  `json:"traffic,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// hollowApplied tells that a dispatcher has a version in force.
type hollowApplied struct {
	Dispatcher int           `json:"d"`
	Version    int64         `json:"v"`
	At         time.Duration `json:"t"` // Unix time
}

// trafficCounts tells what became of the requests so far.
type trafficCounts struct {
	Taken, Served, Refused, Failed, Attempts uint64
	Busy                                     time.Duration // spent in taking requests
}

// Of the memory that a daemon is told, the heap may have this share.
const heapShare = 0.3

const (
	hollowDescriptors = 8192 // of a process; each dispatcher needs a few
	reportStep        = 20 * time.Millisecond
	trafficStep       = time.Second
	hollowProcessors  = 2 // a loop and the poller beside it
)

// hollowProcess is the process at work.
type hollowProcess struct {
	config hollowConfig
	loop   *core.Loop
	out    *json.Encoder

	mu      sync.Mutex
	applied []hollowApplied
	counts  *trafficCounts
}

// RunHollow runs hollow dispatchers until its input ends.
func RunHollow(in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(hollowProcessors)
	lines := bufio.NewReader(in)
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	p := &hollowProcess{loop: core.NewLoop(), out: json.NewEncoder(out)}
	if err := json.Unmarshal(line, &p.config); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(p.config.MemoryMB * heapShare * float64(len(p.config.Dispatchers)) * (1 << 20)))
	if err := p.start(); err != nil {
		return err
	}
	go func() {
		io.Copy(io.Discard, lines)
		p.loop.Stop()
	}()
	go p.report()
	p.loop.Run()
	return nil
}

func (p *hollowProcess) start() error {
	told, err := settings.Read(p.config.Settings)
	if err != nil {
		return err
	}
	engine, err := net.NewEngine(p.loop, hollowDescriptors)
	if err != nil {
		return err
	}
	for i, d := range p.config.Dispatchers {
		seed := p.config.Seed + uint64(i)
		c, err := core.New(p.loop, told, seed)
		if err != nil {
			return err
		}
		p.loop.Post(func() { p.open(i, d, c, engine, seed) })
	}
	return nil
}

// open opens one dispatcher, on the loop's goroutine.
func (p *hollowProcess) open(i int, d hollowDispatcher, c *core.Core, engine *net.Engine, seed uint64) {
	backends := platform.NewBackends(c, engine, d.Discovery)
	if len(d.Servers) > 0 {
		backends.Applied = func(v membership.Version) { p.note(i, int64(v)) }
		backends.Follow(platform.FollowConfig{Name: d.Name, Zone: p.config.Zone, Servers: d.Servers, Seed: seed})
	} else {
		backends.Told = func() { p.note(i, backends.Version()) }
	}
	if err := backends.Known(nil); err != nil {
		p.fail(err)
		return
	}
	if p.config.Traffic.RatePerS > 0 {
		newDriver(c, p.config.Traffic, rand.New(rand.NewPCG(seed, 2)), p.count).start()
	}
}

// note keeps that a version is in force now.
func (p *hollowProcess) note(i int, version int64) {
	p.mu.Lock()
	p.applied = append(p.applied, hollowApplied{Dispatcher: i, Version: version, At: p.loop.Now()})
	p.mu.Unlock()
}

func (p *hollowProcess) count(more trafficCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = &trafficCounts{}
	}
	p.counts.add(more)
}

func (c *trafficCounts) add(more trafficCounts) {
	c.Taken += more.Taken
	c.Served += more.Served
	c.Refused += more.Refused
	c.Failed += more.Failed
	c.Attempts += more.Attempts
	c.Busy += more.Busy
}

func (p *hollowProcess) fail(err error) {
	p.out.Encode(hollowReport{Error: fmt.Sprint(err)})
	p.loop.Stop()
}

// report writes what has come in, now and then.
func (p *hollowProcess) report() {
	for {
		time.Sleep(reportStep)
		p.mu.Lock()
		r := hollowReport{Applied: p.applied, Traffic: p.counts}
		p.applied, p.counts = nil, nil
		p.mu.Unlock()
		if len(r.Applied) == 0 && r.Traffic == nil {
			continue
		}
		if err := p.out.Encode(r); err != nil {
			return
		}
	}
}
