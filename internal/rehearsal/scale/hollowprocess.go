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
	InitialListFile string             `json:"known"`   // path of the endpoint list to start with; empty if they start without one
	CountEntries    bool               `json:"entries"` // count the entries of list updates
}

// hollowDispatcher configures one hollow dispatcher. It gets changes of the endpoint list from discovery or, if that is
// empty, from membership servers.
type hollowDispatcher struct {
	Name      string              `json:"name"`
	Discovery string              `json:"discovery,omitempty"` // address
	Servers   []membership.Server `json:"servers,omitempty"`
}

// hollowReport is one line of the process's output.
type hollowReport struct {
	Applied  []hollowApplied `json:"applied,omitempty"`
	Requests *requestCounts  `json:"traffic,omitempty"`
	Counters *hollowCounters `json:"own,omitempty"` // sent in reply to each line of input after the first
	Error    string          `json:"error,omitempty"`
}

// hollowApplied reports that a dispatcher has applied a version of the endpoint list.
type hollowApplied struct {
	Dispatcher int           `json:"d"` // index in hollowConfig.Dispatchers
	Version    int64         `json:"v"`
	AppliedAt  time.Duration `json:"t"` // by sharedNow
}

// hollowCounters holds totals since the start of a process of hollow dispatchers, summed over its dispatchers.
type hollowCounters struct {
	BytesRead    int64  `json:"bytes_read"` // on control connections
	BytesWritten int64  `json:"bytes_written"`
	ListUpdates  int64  `json:"lists"`       // counted, like Entries, only if hollowConfig.CountEntries is set
	Entries      int64  `json:"entries"`     // in these updates
	Allocations  uint64 `json:"allocations"` // of heap objects, by the whole process
}

func (c *hollowCounters) add(more hollowCounters) {
	c.BytesRead += more.BytesRead
	c.BytesWritten += more.BytesWritten
	c.ListUpdates += more.ListUpdates
	c.Entries += more.Entries
	c.Allocations += more.Allocations
}

// requestCounts counts requests by outcome. The JSON keys keep the earlier names of these counts.
type requestCounts struct {
	Accepted   uint64        `json:"Taken"`
	Served     uint64        `json:"Served"`
	Rejected   uint64        `json:"Refused"`
	Failed     uint64        `json:"Failed"`
	Attempts   uint64        `json:"Attempts"`
	AcceptTime time.Duration `json:"Busy"` // time spent in accepting requests
}

// heapShare is the fraction of a dispatcher's memory limit that it contributes to the Go memory limit of its process.
const heapShare = 0.3

const (
	hollowDescriptors     = 8192                  // descriptor limit of a process; each of its dispatchers needs a few
	reportDelay           = 20 * time.Millisecond // how long events are collected into one report
	trafficReportInterval = time.Second
	hollowProcessors      = 2 // GOMAXPROCS: the event loop and the network poller run in parallel
)

// hollowProcess is a running process of hollow dispatchers. Each has the real dispatcher, decision machine and
// registry, but neither clients nor workers. All dispatchers of a process share one event loop and one transport
// engine.
type hollowProcess struct {
	config      hollowConfig
	loop        *eventloop.Loop
	wake        chan struct{} // signals that there is something to report
	registries  []*discovery.Registry
	listUpdates int64 // used, like entries, on the event loop's goroutine only
	entries     int64 // in these updates
	initialList []byte

	outputMutex sync.Mutex // guards out
	out         *json.Encoder

	mutex    sync.Mutex // guards applied and requests, which are not reported yet
	applied  []hollowApplied
	requests *requestCounts
}

// RunHollow runs a process of hollow dispatchers until its input is closed. The first line of input is its configuration.
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
	go process.serveCounterRequests(reader)
	go process.report()
	process.loop.Run()
	return nil
}

// serveCounterRequests writes a report of the counters for each line of the input, and stops the event loop when the
// input is closed.
func (p *hollowProcess) serveCounterRequests(input *bufio.Reader) {
	for {
		if _, err := input.ReadBytes('\n'); err != nil {
			p.loop.Stop()
			return
		}
		p.loop.Post(p.reportCounters)
	}
}

// start creates the dispatchers. They connect later, on the event loop's goroutine.
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

// open connects one dispatcher to its upstream and starts its load of requests, on the event loop's goroutine.
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
		newDriver(core, p.config.Traffic, rand.New(rand.NewPCG(seed, 2)), p.addRequestCounts).start()
	}
}

// recordApplied records that a dispatcher has just applied a version.
func (p *hollowProcess) recordApplied(number int, version int64) {
	p.mutex.Lock()
	p.applied = append(p.applied, hollowApplied{Dispatcher: number, Version: version, AppliedAt: sharedNow()})
	p.mutex.Unlock()
	p.wakeReporter()
}

func (p *hollowProcess) addRequestCounts(more requestCounts) {
	defer p.wakeReporter()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.requests == nil {
		p.requests = &requestCounts{}
	}
	p.requests.add(more)
}

func (c *requestCounts) add(more requestCounts) {
	c.Accepted += more.Accepted
	c.Served += more.Served
	c.Rejected += more.Rejected
	c.Failed += more.Failed
	c.Attempts += more.Attempts
	c.AcceptTime += more.AcceptTime
}

// countEntries is a trace function that counts updates of the endpoint list and their entries. The number of entries is
// the last of the traced values.
func (p *hollowProcess) countEntries(_, step string, keysAndValues ...any) {
	if step != dispatch.StepWorkersUpdated {
		return
	}
	p.listUpdates++
	if entries, ok := keysAndValues[len(keysAndValues)-1].(int); ok {
		p.entries += int64(entries)
	}
}

// reportCounters writes a report of the process's counters.
func (p *hollowProcess) reportCounters() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	counters := hollowCounters{ListUpdates: p.listUpdates, Entries: p.entries, Allocations: memory.Mallocs}
	for _, registry := range p.registries {
		stats := registry.Stats()
		counters.add(hollowCounters{BytesRead: stats.BytesRead, BytesWritten: stats.BytesWritten})
	}
	p.write(hollowReport{Counters: &counters})
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

// report writes the recorded versions and request counts each time it is woken, after reportDelay, so that one report
// covers several events.
func (p *hollowProcess) report() {
	for range p.wake {
		time.Sleep(reportDelay)
		p.mutex.Lock()
		report := hollowReport{Applied: p.applied, Requests: p.requests}
		p.applied = nil
		p.requests = nil
		p.mutex.Unlock()
		if err := p.write(report); err != nil {
			return
		}
	}
}

// wakeReporter wakes the goroutine that runs report.
func (p *hollowProcess) wakeReporter() {
	select {
	case p.wake <- struct{}{}:
	default: // it has been woken already
	}
}
