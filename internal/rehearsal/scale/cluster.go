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

	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Programs are the commands that a run starts.
type Programs struct {
	Hollow []string // command line of a process of hollow dispatchers: a hidden command of rehearse
	Origin []string // command line of the origin: a hidden command of rehearse
	Daemon string   // path of dispatcher-serve
	Relay  string   // path of membership-relay
	Env    []string // environment of the hollow dispatchers and the origin
}

// originName is the name of the origin in samples, figures and errors.
const originName = "origin"

func hollowName(i int) string           { return fmt.Sprintf("hollow-%04d", i+1) }
func daemonName(i int) string           { return fmt.Sprintf("real-%d", i+1) }
func relayName(zone int) string         { return "relay-" + ZoneName(zone) }
func hollowProcessName(zone int) string { return "hollows-" + ZoneName(zone) }
func hollowZone(i, zones int) int       { return i % zones }
func daemonZone(i, zones int) int       { return (i + 1) % zones } // the first daemon is not in the origin's zone

// cluster holds all processes of one run: the origin, which publishes the endpoint list, the relays, the hollow
// dispatchers, which have neither clients nor workers, and the daemons, which are real dispatcher-serve
// processes. close stops all of them.
type cluster struct {
	scenario        *Scenario
	plan            *Plan
	mechanism       Mechanism
	programs        Programs
	dir             string
	initialList     []byte // JSON of the endpoint list that dispatchers start with; nil if they start without one
	network         *network
	meter           *meter
	origin          *originProcess
	relays          map[int]*child // by zone
	hollowProcesses map[int]*child // by zone; one process runs all hollow dispatchers of its zone
	daemons         map[int]*child // by number

	mutex          sync.Mutex // guards the fields below, which are set from reports of the children
	tracker        *tracker
	requests       requestCounts
	reportedErrors []error
	counters       hollowCounters // sum over the processes that have reported since the start of collectCounters
	counterReports int            // number of those processes
}

func newCluster(scenario *Scenario, plan *Plan, mechanism Mechanism, programs Programs, dir string) *cluster {
	return &cluster{
		scenario:        scenario,
		plan:            plan,
		mechanism:       mechanism,
		programs:        programs,
		dir:             dir,
		network:         newNetwork(scenario),
		meter:           newMeter(),
		relays:          map[int]*child{},
		hollowProcesses: map[int]*child{},
		daemons:         map[int]*child{},
		tracker:         newTracker(),
	}
}

func (c *cluster) command(args []string) *exec.Cmd {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = c.programs.Env
	return cmd
}

// start starts all processes. If it fails, the processes that it has started run until close is called.
func (c *cluster) start() (err error) {
	c.origin, err = startOriginProcess(c.command(c.programs.Origin), c.scenario.LogChanges)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	c.meter.addProcess(originName, c.origin.pid())
	initial := make([]Change, len(c.plan.Hosts))
	for i, host := range c.plan.Hosts {
		initial[i] = Change{Host: host}
	}
	if _, err := c.origin.change([][]Change{initial}); err != nil {
		return err
	}
	if c.scenario.InitialList {
		if err := c.writeInitialList(); err != nil {
			return err
		}
	}
	if c.mechanism == MechanismRelays {
		if err := c.startRelays(); err != nil {
			return err
		}
	}
	for zone := range c.scenario.Zones {
		if err := c.startHollowProcess(zone); err != nil {
			return err
		}
	}
	for i := range c.scenario.Daemons {
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	if processes := c.processes(); processes > maxProcesses {
		return fmt.Errorf("%d processes, more than %d", processes, maxProcesses)
	}
	return nil
}

// writeInitialList writes the endpoint list that dispatchers start with to a file, and keeps its JSON.
func (c *cluster) writeInitialList() error {
	list := initialList{Version: initialVersion, Complete: true, Hosts: c.plan.Hosts, Settings: []any{}}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	c.initialList = text
	return os.WriteFile(c.initialListFile(), text, 0o600)
}

// initialList is the endpoint list that dispatchers start with. A dispatcher that follows membership servers resumes from it
// only if it has the key settings, which is therefore written even though no setting has changed.
type initialList struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []standin.Host `json:"hosts"`
	Settings []any          `json:"settings"`
}

// initialVersion is the version of the endpoint list at the start of a run.
const initialVersion = 1

func (c *cluster) initialListFile() string { return filepath.Join(c.dir, "known.json") }

// forgetInitialList makes dispatchers that are started from now on start without a list.
func (c *cluster) forgetInitialList() { c.initialList = nil }

// processes returns the number of processes, including the origin and this process.
func (c *cluster) processes() int { return len(c.relays) + len(c.hollowProcesses) + len(c.daemons) + 2 }

// startRelays starts a relay for each zone, and opens a link from every zone to each relay.
func (c *cluster) startRelays() error {
	for zone := range c.scenario.Zones {
		upstream, err := c.network.open(zone, originZone, originName, c.origin.address, relayName(zone))
		if err != nil {
			return err
		}
		addr, err := c.startRelay(zone, upstream.addr)
		if err != nil {
			return err
		}
		for fromZone := range c.scenario.Zones {
			if _, err := c.network.open(fromZone, zone, relayName(zone), addr, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) startRelay(zone int, upstreamAddress string) (addr string, err error) {
	name := relayName(zone)
	cmd, err := relayCommand(c.programs.Relay, c.dir, name, ZoneName(zone), upstreamAddress, c.scenario.LogChanges)
	if err != nil {
		return "", err
	}
	relay, addr, err := startRelay(name, cmd)
	if err != nil {
		return "", err
	}
	c.relays[zone] = relay
	c.meter.addProcess(name, relay.pid())
	return addr, nil
}

// restartRelay starts a zone's relay again. It listens at another address, to which the links to it are moved.
func (c *cluster) restartRelay(zone int) error {
	for _, link := range c.network.links {
		if link.client == relayName(zone) {
			addr, err := c.startRelay(zone, link.addr)
			if err == nil {
				c.network.retarget(relayName(zone), addr)
			}
			return err
		}
	}
	return errors.New("no such relay")
}

// killRelay kills a zone's relay, if it runs.
func (c *cluster) killRelay(zone int) {
	if relay := c.relays[zone]; relay != nil {
		c.meter.removeProcess(relayName(zone))
		relay.kill()
		delete(c.relays, zone)
	}
}

// upstreamOf returns the addresses from which a dispatcher gets changes of the endpoint list: that of the dispatcher's
// own link to the origin, or those of its zone's links to all relays.
func (c *cluster) upstreamOf(name string, zone int) (found upstream, err error) {
	if c.mechanism == MechanismDiscovery {
		link, err := c.discoveryLink(name, zone)
		if err != nil {
			return found, err
		}
		found.discovery = link.addr
		return found, nil
	}
	for _, link := range c.network.links {
		if link.fromZone == zone && link.client == "" {
			found.servers = append(found.servers, membership.Server{Zone: ZoneName(link.toZone), Address: link.addr})
		}
	}
	return found, nil
}

// discoveryLink returns a dispatcher's own link to the origin. The first call for a dispatcher opens the link; after a
// restart the dispatcher uses it again.
func (c *cluster) discoveryLink(name string, zone int) (*zoneLink, error) {
	for _, link := range c.network.links {
		if link.client == name {
			return link, nil
		}
	}
	return c.network.open(zone, originZone, originName, c.origin.address, name)
}

// hollowNames returns the names of the hollow dispatchers of a zone.
func (c *cluster) hollowNames(zone int) (names []string) {
	for i := range c.scenario.Dispatchers {
		if hollowZone(i, c.scenario.Zones) == zone {
			names = append(names, hollowName(i))
		}
	}
	return names
}

// startHollowProcess starts the process that runs a zone's hollow dispatchers, if the zone has any.
func (c *cluster) startHollowProcess(zone int) error {
	names := c.hollowNames(zone)
	if len(names) == 0 {
		return nil
	}
	config, err := c.hollowConfig(zone, names)
	if err != nil {
		return err
	}
	processName := hollowProcessName(zone)
	process, err := startChild(processName, c.command(c.programs.Hollow), func(line []byte) { c.onReport(names, line) })
	if err != nil {
		return err
	}
	c.hollowProcesses[zone] = process
	c.meter.addProcess(processName, process.pid())
	return process.send(config)
}

// hollowConfig returns the configuration of the process that runs a zone's hollow dispatchers.
func (c *cluster) hollowConfig(zone int, names []string) (hollowConfig, error) {
	scenario := c.scenario
	config := hollowConfig{
		Settings:     dispatcherSettings(scenario, c.plan.Zones, zone),
		Zone:         ZoneName(zone),
		Seed:         scenario.Seed + uint64(zone)<<32,
		MemoryMB:     scenario.MemoryMB,
		Traffic:      scenario.Traffic,
		CountEntries: scenario.CountEntries,
	}
	if c.initialList != nil {
		config.InitialListFile = c.initialListFile()
	}
	for _, name := range names {
		source, err := c.upstreamOf(name, zone)
		if err != nil {
			return hollowConfig{}, err
		}
		config.Dispatchers = append(config.Dispatchers, hollowDispatcher{Name: name, Discovery: source.discovery, Servers: source.servers})
	}
	return config, nil
}

// onReport handles a report of the process that runs the hollow dispatchers with the given names.
func (c *cluster) onReport(names []string, line []byte) {
	var report hollowReport
	if err := json.Unmarshal(line, &report); err != nil {
		report.Error = fmt.Sprintf("invalid report of a hollow process: %v", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, applied := range report.Applied {
		if applied.Version > 0 {
			c.tracker.recordApplied(names[applied.Dispatcher], applied.Version, applied.AppliedAt)
		}
	}
	if report.Requests != nil {
		c.requests.add(*report.Requests)
	}
	if report.Counters != nil {
		c.counters.add(*report.Counters)
		c.counterReports++
	}
	if report.Error != "" {
		c.reportedErrors = append(c.reportedErrors, errors.New(report.Error))
	}
}

// startDaemon starts a daemon: a real dispatcher-serve process.
func (c *cluster) startDaemon(number int) error {
	scenario := c.scenario
	name := daemonName(number)
	zone := daemonZone(number, scenario.Zones)
	source, err := c.upstreamOf(name, zone)
	if err != nil {
		return err
	}
	config := daemonConfig{
		Name:        name,
		Limits:      resourceLimits{MemoryMB: scenario.MemoryMB},
		InitialList: c.initialList,
		Settings:    dispatcherSettings(scenario, c.plan.Zones, zone),
	}
	cmd, err := daemonCommand(c.programs.Daemon, c.dir, ZoneName(zone), config, source)
	if err != nil {
		return err
	}
	process, err := startChild(name, cmd, nil)
	if err != nil {
		return err
	}
	c.daemons[number] = process
	c.meter.addProcess(name, process.pid())
	return nil
}

// restartZone kills a zone's dispatchers and starts them again.
func (c *cluster) restartZone(zone int) error {
	if process := c.hollowProcesses[zone]; process != nil {
		c.meter.removeProcess(hollowProcessName(zone))
		process.kill()
	}
	if err := c.startHollowProcess(zone); err != nil {
		return err
	}
	for i, process := range c.daemons {
		if daemonZone(i, c.scenario.Zones) != zone {
			continue
		}
		c.meter.removeProcess(daemonName(i))
		process.kill()
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

// childError returns an error if a relay, hollow process or daemon has exited, or a hollow process has reported an error.
func (c *cluster) childError() error {
	for _, group := range []map[int]*child{c.relays, c.hollowProcesses, c.daemons} {
		for _, process := range group {
			select {
			case <-process.exited:
				return fmt.Errorf("%s has exited: %s", process.name, strings.TrimSpace(process.stderr.String()))
			default:
			}
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Join(c.reportedErrors...)
}

// sample reads the usage of all processes and the counters of all links.
func (c *cluster) sample() sample {
	taken := c.meter.read()
	taken.clientBytes = c.network.byteCounters.totals()
	taken.sentBytes, taken.connections = c.network.serverLoad()
	return taken
}

// countBehind returns the number of reachable hollow dispatchers that have not yet applied the given version.
func (c *cluster) countBehind(version int64) (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := range c.scenario.Dispatchers {
		if current, reachable := c.tracker.current(hollowName(i)); reachable && current < version {
			count++
		}
	}
	return count
}

// countSilentDaemons returns the number of daemons that have not yet exchanged a byte with their upstream.
func (c *cluster) countSilentDaemons() (count int) {
	totals := c.network.byteCounters.totals()
	for i := range c.scenario.Daemons {
		if totals[daemonName(i)] == 0 {
			count++
		}
	}
	return count
}

// collectCounters asks all processes of hollow dispatchers for their counters and returns the sum.
func (c *cluster) collectCounters(ctx context.Context) (hollowCounters, error) {
	c.mutex.Lock()
	c.counters = hollowCounters{}
	c.counterReports = 0
	c.mutex.Unlock()
	for _, process := range c.hollowProcesses {
		if err := process.send("counts"); err != nil {
			return hollowCounters{}, err
		}
	}
	for {
		c.mutex.Lock()
		counters := c.counters
		reports := c.counterReports
		c.mutex.Unlock()
		if reports >= len(c.hollowProcesses) {
			return counters, nil
		}
		if err := c.childError(); err != nil {
			return counters, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return counters, err
		}
	}
}

// close stops all processes that the cluster started, and closes the links.
func (c *cluster) close() {
	var all []*child
	for _, group := range []map[int]*child{c.daemons, c.hollowProcesses, c.relays} {
		for _, process := range group {
			all = append(all, process)
		}
	}
	if c.origin != nil {
		all = append(all, c.origin.child)
	}
	var stopping sync.WaitGroup
	for _, process := range all {
		stopping.Go(process.stop)
	}
	stopping.Wait()
	c.network.close()
}
