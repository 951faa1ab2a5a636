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

// hollowConfig is the first line that a process of hollow dispatchers reads.
type hollowConfig struct {
	Settings        json.RawMessage    `json:"settings"`
	Zone            string             `json:"zone"`
	Seed            uint64             `json:"seed"`
	MemoryMB        float64            `json:"memory_mb"` // of each dispatcher
	Dispatchers     []hollowDispatcher `json:"dispatchers"`
	Traffic         Traffic            `json:"traffic"`
	InitialListFile string             `json:"known"`   // of the list that they start with; empty: none
	CountEntries    bool               `json:"entries"` // count the entries of list updates
}

// hollowDispatcher is a hollow dispatcher and where it gets changes from.
type hollowDispatcher struct {
	Name      string              `json:"name"`
	Discovery string              `json:"discovery,omitempty"` // empty: the servers are followed
	Servers   []membership.Server `json:"servers,omitempty"`
}

// hollowReport is a line that the process writes.
type hollowReport struct {
	Applied []hollowApplied `json:"applied,omitempty"`
	Traffic *trafficCounts  `json:"traffic,omitempty"`
	Own     *ownCounts      `json:"own,omitempty"` // on request
	Error   string          `json:"error,omitempty"`
}

// hollowApplied reports that a dispatcher has a version in force.
type hollowApplied struct {
	Dispatcher int           `json:"d"`
	Version    int64         `json:"v"`
	AppliedAt  time.Duration `json:"t"` // Unix time
}

// ownCounts is what a process and its dispatchers have counted themselves since their start.
type ownCounts struct {
	BytesRead    int64  `json:"bytes_read"` // on control connections
	BytesWritten int64  `json:"bytes_written"`
	ListUpdates  int64  `json:"lists"` // counted only with Entries
	Entries      int64  `json:"entries"`
	Allocations  uint64 `json:"allocations"`
}

func (c *ownCounts) add(more ownCounts) {
	c.BytesRead += more.BytesRead
	c.BytesWritten += more.BytesWritten
	c.ListUpdates += more.ListUpdates
	c.Entries += more.Entries
	c.Allocations += more.Allocations
}

// trafficCounts counts requests by outcome. The JSON keys are those of the earlier names.
type trafficCounts struct {
	Accepted   uint64        `json:"Taken"`
	Served     uint64        `json:"Served"`
	Rejected   uint64        `json:"Refused"`
	Failed     uint64        `json:"Failed"`
	Attempts   uint64        `json:"Attempts"`
	AcceptTime time.Duration `json:"Busy"` // time spent in accepting requests
}

// heapShare is the share of the memory limit of a dispatcher that the heap may use.
const heapShare = 0.3

const (
	hollowDescriptors     = 8192 // of a process; each dispatcher needs a few
	reportDelay           = 20 * time.Millisecond
	trafficReportInterval = time.Second
	hollowProcessors      = 2 // a loop and the poller beside it
)

// hollowProcess is a running process of hollow dispatchers. Each has the real dispatcher, decision module and
// registry, but neither clients nor workers. All of a process share one loop and one engine.
type hollowProcess struct {
	config      hollowConfig
	loop        *eventloop.Loop
	wake        chan struct{} // signals that there is something to report
	registries  []*discovery.Registry
	listUpdates int64 // like entries, belongs to the loop's goroutine
	entries     int64
	initialList []byte

	outputMutex sync.Mutex // guards out
	out         *json.Encoder

	mutex   sync.Mutex // guards applied and traffic
	applied []hollowApplied
	traffic *trafficCounts
}

// RunHollow runs a process of hollow dispatchers until its input ends.
func RunHollow(input io.Reader, output io.Writer) error {
	runtime.GOMAXPROCS(hollowProcessors)
	reader := bufio.NewReader(input)
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return err
	}
	process := &hollowProcess{loop: eventloop.New(), out: json.NewEncoder(output), wake: make(chan struct{}, 1)}
	if err := json.Unmarshal(line, &process.config); err != nil {
		return err
	}
	heapMB := process.config.MemoryMB * heapShare * float64(len(process.config.Dispatchers))
	debug.SetMemoryLimit(int64(heapMB * (1 << 20)))
	if process.config.InitialListFile != "" {
		process.initialList, err = os.ReadFile(process.config.InitialListFile)
		if err != nil {
			return err
		}
	}
	if err := process.start(); err != nil {
		return err
	}
	process.loop.Post(func() { process.initialList = nil }) // after the dispatchers have read it
	go process.serveRequests(reader)
	go process.report()
	process.loop.Run()
	return nil
}

// serveRequests reports the counts for each line of the input, and stops the loop at its end.
func (p *hollowProcess) serveRequests(input *bufio.Reader) {
	for {
		if _, err := input.ReadBytes('\n'); err != nil {
			p.loop.Stop()
			return
		}
		p.loop.Post(p.reportOwnCounts)
	}
}

// start creates the dispatchers; they are opened on the loop.
func (p *hollowProcess) start() error {
	parsed, err := settings.Read(p.config.Settings)
	if err != nil {
		return err
	}
	engine, err := transport.NewEngine(p.loop, hollowDescriptors)
	if err != nil {
		return err
	}
	for i, config := range p.config.Dispatchers {
		seed := p.config.Seed + uint64(i)
		core, err := dispatch.New(p.loop, parsed, seed)
		if err != nil {
			return err
		}
		p.loop.Post(func() { p.open(i, config, core, engine, seed) })
	}
	return nil
}

// open opens one dispatcher, on the loop's goroutine.
func (p *hollowProcess) open(number int, config hollowDispatcher, core *dispatch.Dispatcher, engine *transport.Engine, seed uint64) {
	registry := discovery.New(core, engine, config.Discovery)
	workerclient.New(core, engine, registry)
	if len(config.Servers) > 0 {
		registry.OnVersionApplied = func(v membership.Version) { p.recordApplied(number, int64(v)) }
		registry.Follow(discovery.FollowConfig{Name: config.Name, Zone: p.config.Zone, Servers: config.Servers, Seed: seed})
	} else {
		registry.OnUpdate = func() { p.recordApplied(number, registry.Version()) }
	}
	if p.config.CountEntries {
		core.Trace = p.countEntries
	}
	p.registries = append(p.registries, registry)
	if err := registry.LoadInitial(p.initialList); err != nil {
		p.fail(err)
		return
	}
	if p.config.Traffic.RatePerS > 0 {
		newDriver(core, p.config.Traffic, rand.New(rand.NewPCG(seed, 2)), p.addTraffic).start()
	}
}

// recordApplied records that a version is in force now.
func (p *hollowProcess) recordApplied(number int, version int64) {
	p.mutex.Lock()
	p.applied = append(p.applied, hollowApplied{Dispatcher: number, Version: version, AppliedAt: p.loop.Now()})
	p.mutex.Unlock()
	p.wakeReporter()
}

func (p *hollowProcess) addTraffic(more trafficCounts) {
	defer p.wakeReporter()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.traffic == nil {
		p.traffic = &trafficCounts{}
	}
	p.traffic.add(more)
}

func (c *trafficCounts) add(more trafficCounts) {
	c.Accepted += more.Accepted
	c.Served += more.Served
	c.Rejected += more.Rejected
	c.Failed += more.Failed
	c.Attempts += more.Attempts
	c.AcceptTime += more.AcceptTime
}

// countEntries is a trace function that counts list updates and their entries.
func (p *hollowProcess) countEntries(_, step string, keysAndValues ...any) {
	if step != dispatch.StepWorkersUpdated {
		return
	}
	p.listUpdates++
	if entries, ok := keysAndValues[len(keysAndValues)-1].(int); ok {
		p.entries += int64(entries)
	}
}

// reportOwnCounts writes what the process has counted.
func (p *hollowProcess) reportOwnCounts() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	own := ownCounts{ListUpdates: p.listUpdates, Entries: p.entries, Allocations: memory.Mallocs}
	for _, registry := range p.registries {
		stats := registry.Stats()
		own.add(ownCounts{BytesRead: stats.BytesRead, BytesWritten: stats.BytesWritten})
	}
	p.write(hollowReport{Own: &own})
}

func (p *hollowProcess) fail(err error) {
	p.write(hollowReport{Error: fmt.Sprint(err)})
	p.loop.Stop()
}

func (p *hollowProcess) write(report hollowReport) error {
	p.outputMutex.Lock()
	defer p.outputMutex.Unlock()
	return p.out.Encode(report)
}

// report writes what has happened, with a short delay to collect more.
func (p *hollowProcess) report() {
	for range p.wake {
		time.Sleep(reportDelay)
		p.mutex.Lock()
		report := hollowReport{Applied: p.applied, Traffic: p.traffic}
		p.applied = nil
		p.traffic = nil
		p.mutex.Unlock()
		if err := p.write(report); err != nil {
			return
		}
	}
}

// wakeReporter wakes the reporter.
func (p *hollowProcess) wakeReporter() {
	select {
	case p.wake <- struct{}{}:
	default: // it is already awake
	}
}
