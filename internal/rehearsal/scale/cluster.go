package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns all processes of one run: the origin, relays, hollow dispatchers
// and real ones, by zone. It must end every one that it started.

// Programs are the commands that a run starts.
type Programs struct {
	Hollow []string // this program's own hidden commands
	Origin []string
	Daemon string // dispatcher-serve
	Relay  string // membership-relay
	Env    []string
}

const originName = "origin"

func hollowName(i int) string    { return fmt.Sprintf("hollow-%04d", i+1) }
func realName(i int) string      { return fmt.Sprintf("real-%d", i+1) }
func relayName(zone int) string  { return "relay-" + ZoneName(zone) }
func holderName(zone int) string { return "hollows-" + ZoneName(zone) }
func zoneOf(i, zones int) int    { return i % zones }
func realZone(i, zones int) int  { return (i + 1) % zones } // so that a zone beside the origin's has one

// cluster is everything that runs.
type cluster struct {
	scenario  *Scenario
	plan      *Plan
	mechanism Mechanism
	programs  Programs
	dir       string
	known     []byte // the list that dispatchers start with; nil: none
	network   *network
	meter     *meter
	origin    *originProcess
	relays    map[int]*child
	holders   map[int]*child // hollow dispatchers, a process for each zone
	reals     map[int]*child

	mu      sync.Mutex // guards what children report
	tracker *tracker
	counts  trafficCounts
	errs    []error
	own     ownCounts // of the processes that have answered countOwn
	answers int
}

func newCluster(s *Scenario, plan *Plan, mechanism Mechanism, programs Programs, dir string) *cluster {
	return &cluster{scenario: s, plan: plan, mechanism: mechanism, programs: programs, dir: dir, network: newNetwork(s),
		meter: newMeter(), relays: map[int]*child{}, holders: map[int]*child{}, reals: map[int]*child{}, tracker: newTracker()}
}

func (c *cluster) command(args []string) *exec.Cmd {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = c.programs.Env
	return cmd
}

// start starts everything; what has started by an error is ended by close.
func (c *cluster) start() (err error) {
	c.origin, err = startOriginProcess(c.command(c.programs.Origin), c.scenario.LogChanges)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	c.meter.follow(originName, c.origin.pid())
	initial := make([]Change, len(c.plan.Hosts))
	for i, host := range c.plan.Hosts {
		initial[i] = Change{Host: host}
	}
	if _, err := c.origin.change([][]Change{initial}); err != nil {
		return err
	}
	if c.scenario.Known {
		var err error
		if c.known, err = json.Marshal(knownList{Seq: firstVersion, Whole: true, Hosts: c.plan.Hosts, Settings: []any{}}); err != nil {
			return err
		}
		if err := os.WriteFile(c.knownFile(), c.known, 0o600); err != nil {
			return err
		}
	}
	if c.mechanism == ByRelays {
		if err := c.startRelays(); err != nil {
			return err
		}
	}
	for zone := range c.scenario.Zones {
		if err := c.startHolder(zone); err != nil {
			return err
		}
	}
	for i := range c.scenario.Real {
		if err := c.startReal(i); err != nil {
			return err
		}
	}
	if n := c.processes(); n > mostProcesses {
		return fmt.Errorf("%d processes, of %d at the most", n, mostProcesses)
	}
	return nil
}

// knownList is the list that dispatchers start with. Without settings, of which
// none has changed, a follower would not resume from it and ask for all anew.
type knownList struct {
	Seq      int64          `json:"seq"`
	Whole    bool           `json:"whole"`
	Hosts    []standin.Host `json:"hosts"`
	Settings []any          `json:"settings"`
}

const firstVersion = 1 // of the list at the start

func (c *cluster) knownFile() string { return filepath.Join(c.dir, "known.json") }

// forget makes dispatchers that start from now on do so without a list.
func (c *cluster) forget() { c.known = nil }

// processes is how many there are, this one included.
func (c *cluster) processes() int { return len(c.relays) + len(c.holders) + len(c.reals) + 2 }

// startRelays starts a relay for each zone, and a link from every zone to each.
func (c *cluster) startRelays() error {
	for zone := range c.scenario.Zones {
		up, err := c.network.open(zone, originZone, originName, c.origin.addr, relayName(zone))
		if err != nil {
			return err
		}
		addr, err := c.startRelay(zone, up.addr)
		if err != nil {
			return err
		}
		for from := range c.scenario.Zones {
			if _, err := c.network.open(from, zone, relayName(zone), addr, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) startRelay(zone int, up string) (addr string, err error) {
	name := relayName(zone)
	cmd, err := relayCommand(c.programs.Relay, c.dir, name, ZoneName(zone), up, c.scenario.LogChanges)
	if err != nil {
		return "", err
	}
	relay, addr, err := startRelay(name, cmd)
	if err != nil {
		return "", err
	}
	c.relays[zone] = relay
	c.meter.follow(name, relay.pid())
	return addr, nil
}

// restartRelay starts a zone's relay anew, at another address.
func (c *cluster) restartRelay(zone int) error {
	for _, p := range c.network.paths {
		if p.client == relayName(zone) {
			addr, err := c.startRelay(zone, p.addr)
			if err == nil {
				c.network.retarget(relayName(zone), addr)
			}
			return err
		}
	}
	return errors.New("no such relay")
}

func (c *cluster) killRelay(zone int) {
	if relay := c.relays[zone]; relay != nil {
		c.meter.leave(relayName(zone))
		relay.kill()
		delete(c.relays, zone)
	}
}

// hears is where a dispatcher of a zone hears of changes.
func (c *cluster) hears(name string, zone int) (up upstream, err error) {
	if c.mechanism == ByDiscovery {
		p, err := c.discoveryPath(name, zone)
		if err != nil {
			return up, err
		}
		up.discovery = p.addr
		return up, nil
	}
	for _, p := range c.network.paths {
		if p.from == zone && p.client == "" {
			up.servers = append(up.servers, membership.Server{Zone: ZoneName(p.to), Address: p.addr})
		}
	}
	return up, nil
}

// discoveryPath is a dispatcher's own link to the origin, which it keeps over a restart.
func (c *cluster) discoveryPath(name string, zone int) (*path, error) {
	for _, p := range c.network.paths {
		if p.client == name {
			return p, nil
		}
	}
	return c.network.open(zone, originZone, originName, c.origin.addr, name)
}

// hollows are the hollow dispatchers of a zone, by number.
func (c *cluster) hollows(zone int) (list []int) {
	for i := range c.scenario.Dispatchers {
		if zoneOf(i, c.scenario.Zones) == zone {
			list = append(list, i)
		}
	}
	return list
}

// dispatchers are all dispatchers of a zone that report what they have in force.
func (c *cluster) dispatchers(zone int) (names []string) {
	for _, i := range c.hollows(zone) {
		names = append(names, hollowName(i))
	}
	return names
}

func (c *cluster) startHolder(zone int) error {
	list := c.hollows(zone)
	if len(list) == 0 {
		return nil
	}
	s := c.scenario
	config := hollowConfig{Settings: dispatcherSettings(s, c.plan.Zones, zone), Zone: ZoneName(zone),
		Seed: s.Seed + uint64(zone)<<32, MemoryMB: s.MemoryMB, Traffic: s.Traffic, Entries: s.Entries}
	if c.known != nil {
		config.Known = c.knownFile()
	}
	var names []string
	for _, i := range list {
		name := hollowName(i)
		up, err := c.hears(name, zone)
		if err != nil {
			return err
		}
		names = append(names, name)
		config.Dispatchers = append(config.Dispatchers, hollowDispatcher{Name: name, Discovery: up.discovery, Servers: up.servers})
	}
	holder, err := startChild(holderName(zone), c.command(c.programs.Hollow), func(line []byte) { c.heard(names, line) })
	if err != nil {
		return err
	}
	c.holders[zone] = holder
	c.meter.follow(holderName(zone), holder.pid())
	return holder.tell(config)
}

// heard takes in a report of hollow dispatchers.
func (c *cluster) heard(names []string, line []byte) {
	var r hollowReport
	if err := json.Unmarshal(line, &r); err != nil {
		r.Error = fmt.Sprintf("a hollow dispatcher's report: %v", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range r.Applied {
		if a.Version > 0 {
			c.tracker.applied(names[a.Dispatcher], a.Version, a.At)
		}
	}
	if r.Traffic != nil {
		c.counts.add(*r.Traffic)
	}
	if r.Own != nil {
		c.own.add(*r.Own)
		c.answers++
	}
	if r.Error != "" {
		c.errs = append(c.errs, errors.New(r.Error))
	}
}

func (c *cluster) startReal(i int) error {
	s, name, zone := c.scenario, realName(i), realZone(i, c.scenario.Zones)
	up, err := c.hears(name, zone)
	if err != nil {
		return err
	}
	config := daemonConfig{Name: name, Limits: daemonLimits{MemoryMB: s.MemoryMB}, Known: c.known, Settings: dispatcherSettings(s, c.plan.Zones, zone)}
	cmd, err := daemonCommand(c.programs.Daemon, c.dir, ZoneName(zone), config, up)
	if err != nil {
		return err
	}
	real, err := startChild(name, cmd, nil)
	if err != nil {
		return err
	}
	c.reals[i] = real
	c.meter.follow(name, real.pid())
	return nil
}

// restartZone kills a zone's dispatchers and starts them anew.
func (c *cluster) restartZone(zone int) error {
	if holder := c.holders[zone]; holder != nil {
		c.meter.leave(holderName(zone))
		holder.kill()
	}
	if err := c.startHolder(zone); err != nil {
		return err
	}
	for i, real := range c.reals {
		if realZone(i, c.scenario.Zones) != zone {
			continue
		}
		c.meter.leave(realName(i))
		real.kill()
		if err := c.startReal(i); err != nil {
			return err
		}
	}
	return nil
}

// ended names a process that has ended by itself.
func (c *cluster) ended() error {
	for _, group := range []map[int]*child{c.relays, c.holders, c.reals} {
		for _, p := range group {
			select {
			case <-p.ended:
				return fmt.Errorf("%s has ended: %s", p.name, strings.TrimSpace(p.stderr.String()))
			default:
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.errs...)
}

// sample reads all meters.
func (c *cluster) sample() sample {
	s := c.meter.read()
	s.bytes = c.network.book.totals()
	s.sent, s.open = c.network.load()
	return s
}

// behind is how many reachable dispatchers lack a version.
func (c *cluster) behind(version int64) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.scenario.Dispatchers {
		if has, reachable := c.tracker.current(hollowName(i)); reachable && has < version {
			n++
		}
	}
	return n
}

// heardNothing is how many real daemons have had no byte yet.
func (c *cluster) heardNothing() (n int) {
	totals := c.network.book.totals()
	for i := range c.scenario.Real {
		if totals[realName(i)] == 0 {
			n++
		}
	}
	return n
}

// countOwn asks all processes with hollow dispatchers for what they have counted.
func (c *cluster) countOwn(ctx context.Context) (ownCounts, error) {
	c.mu.Lock()
	c.own, c.answers = ownCounts{}, 0
	c.mu.Unlock()
	for _, holder := range c.holders {
		if err := holder.tell("counts"); err != nil {
			return ownCounts{}, err
		}
	}
	for {
		c.mu.Lock()
		own, answers := c.own, c.answers
		c.mu.Unlock()
		if answers >= len(c.holders) {
			return own, nil
		}
		if err := c.ended(); err != nil {
			return own, err
		}
		if err := pause(ctx, waitStep); err != nil {
			return own, err
		}
	}
}

// close ends all processes by their ids.
func (c *cluster) close() {
	var all []*child
	for _, group := range []map[int]*child{c.reals, c.holders, c.relays} {
		for _, p := range group {
			all = append(all, p)
		}
	}
	if c.origin != nil {
		all = append(all, c.origin.child)
	}
	var done sync.WaitGroup
	for _, p := range all {
		done.Go(p.stop)
	}
	done.Wait()
	c.network.close()
}

// unixNow is the clock that all reports are stamped by.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }
