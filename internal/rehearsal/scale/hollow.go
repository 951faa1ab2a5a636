package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
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
	Known       string             `json:"known"`   // file of the list that they start with; "": none
	Entries     bool               `json:"entries"` // count the list entries that are taken in
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
	Own     *ownCounts      `json:"own,omitempty"` // when the process is asked
	Error   string          `json:"error,omitempty"`
}

// hollowApplied tells that a dispatcher has a version in force.
type hollowApplied struct {
	Dispatcher int           `json:"d"`
	Version    int64         `json:"v"`
	At         time.Duration `json:"t"` // Unix time
}

// ownCounts is what a process and its dispatchers have counted themselves, from
// their start on.
type ownCounts struct {
	BytesRead    int64  `json:"bytes_read"` // on control connections
	BytesWritten int64  `json:"bytes_written"`
	Lists        int64  `json:"lists"` // and changes of lists; counted only where entries are
	Entries      int64  `json:"entries"`
	Allocations  uint64 `json:"allocations"`
}

func (c *ownCounts) add(more ownCounts) {
	c.BytesRead += more.BytesRead
	c.BytesWritten += more.BytesWritten
	c.Lists += more.Lists
	c.Entries += more.Entries
	c.Allocations += more.Allocations
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
	config     hollowConfig
	loop       *eventloop.Loop
	news       chan struct{} // there is something to report
	registries []*discovery.Registry
	lists      int64 // belongs to the loop's goroutine, as entries
	entries    int64
	known      []byte

	writing sync.Mutex // guards out
	out     *json.Encoder

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
	p := &hollowProcess{loop: eventloop.New(), out: json.NewEncoder(out), news: make(chan struct{}, 1)}
	if err := json.Unmarshal(line, &p.config); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(p.config.MemoryMB * heapShare * float64(len(p.config.Dispatchers)) * (1 << 20)))
	if p.config.Known != "" {
		if p.known, err = os.ReadFile(p.config.Known); err != nil {
			return err
		}
	}
	if err := p.start(); err != nil {
		return err
	}
	p.loop.Post(func() { p.known = nil }) // behind those who read it
	go func() {
		for { // each further line asks for what has been counted
			if _, err := lines.ReadBytes('\n'); err != nil {
				p.loop.Stop()
				return
			}
			p.loop.Post(p.tellCounts)
		}
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
	engine, err := transport.NewEngine(p.loop, hollowDescriptors)
	if err != nil {
		return err
	}
	for i, d := range p.config.Dispatchers {
		seed := p.config.Seed + uint64(i)
		c, err := dispatch.New(p.loop, told, seed)
		if err != nil {
			return err
		}
		p.loop.Post(func() { p.open(i, d, c, engine, seed) })
	}
	return nil
}

// open opens one dispatcher, on the loop's goroutine.
func (p *hollowProcess) open(i int, d hollowDispatcher, c *dispatch.Dispatcher, engine *transport.Engine, seed uint64) {
	registry := discovery.New(c, engine, d.Discovery)
	workerclient.New(c, engine, registry)
	if len(d.Servers) > 0 {
		registry.OnVersionApplied = func(v membership.Version) { p.note(i, int64(v)) }
		registry.Follow(discovery.FollowConfig{Name: d.Name, Zone: p.config.Zone, Servers: d.Servers, Seed: seed})
	} else {
		registry.OnUpdate = func() { p.note(i, registry.Version()) }
	}
	if p.config.Entries {
		c.Trace = p.countEntries
	}
	p.registries = append(p.registries, registry)
	if err := registry.LoadInitial(p.known); err != nil {
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
	p.tell()
}

func (p *hollowProcess) count(more trafficCounts) {
	defer p.tell()
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

// countEntries hears each step of the core; a list's has the number of its entries.
func (p *hollowProcess) countEntries(_, step string, more ...any) {
	if step != dispatch.StepWorkersUpdated {
		return
	}
	p.lists++
	if n, ok := more[len(more)-1].(int); ok {
		p.entries += int64(n)
	}
}

// tellCounts tells what the process has counted.
func (p *hollowProcess) tellCounts() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	own := ownCounts{Lists: p.lists, Entries: p.entries, Allocations: memory.Mallocs}
	for _, b := range p.registries {
		stats := b.Stats()
		own.add(ownCounts{BytesRead: stats.BytesRead, BytesWritten: stats.BytesWritten})
	}
	p.write(hollowReport{Own: &own})
}

func (p *hollowProcess) fail(err error) {
	p.write(hollowReport{Error: fmt.Sprint(err)})
	p.loop.Stop()
}

func (p *hollowProcess) write(r hollowReport) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	return p.out.Encode(r)
}

// report writes what has come in, soon after it has.
func (p *hollowProcess) report() {
	for range p.news {
		time.Sleep(reportStep)
		p.mu.Lock()
		r := hollowReport{Applied: p.applied, Traffic: p.counts}
		p.applied, p.counts = nil, nil
		p.mu.Unlock()
		if err := p.write(r); err != nil {
			return
		}
	}
}

// tell wakes the reporter.
func (p *hollowProcess) tell() {
	select {
	case p.news <- struct{}{}:
	default: // it is awake already
	}
}
