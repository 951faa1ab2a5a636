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

// Programs are the commands that a run starts.
type Programs struct {
	Hollow []string // hidden commands of this program
	Origin []string
	Daemon string // dispatcher-serve
	Relay  string // membership-relay
	Env    []string
}

// originName is the name of the origin in meters and logs.
const originName = "origin"

func hollowName(i int) string           { return fmt.Sprintf("hollow-%04d", i+1) }
func daemonName(i int) string           { return fmt.Sprintf("real-%d", i+1) }
func relayName(zone int) string         { return "relay-" + ZoneName(zone) }
func hollowProcessName(zone int) string { return "hollows-" + ZoneName(zone) }
func hollowZone(i, zones int) int       { return i % zones }
func daemonZone(i, zones int) int       { return (i + 1) % zones } // not the origin's zone first

// cluster has all processes of one run: the origin, relays, hollow dispatchers and daemons. close ends all of them.
type cluster struct {
	scenario        *Scenario
	plan            *Plan
	mechanism       Mechanism
	programs        Programs
	dir             string
	initialList     []byte // JSON of the list that dispatchers start with; nil: none
	network         *network
	meter           *meter
	origin          *originProcess
	relays          map[int]*child
	hollowProcesses map[int]*child // hollow dispatchers, a process for each zone
	daemons         map[int]*child

	mutex      sync.Mutex // guards what children report
	tracker    *tracker
	traffic    trafficCounts
	errs       []error
	ownCounts  ownCounts // sum over the processes that have reported since collectOwnCounts began
	ownReports int       // number of those processes
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

// start starts everything. After an error the processes started so far run until close.
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
	if c.scenario.InitialList {
		if err := c.writeInitialList(); err != nil {
			return err
		}
	}
	if c.mechanism == ByRelays {
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

// writeInitialList writes the list that dispatchers start with to its file.
func (c *cluster) writeInitialList() error {
	list := initialList{Version: initialVersion, Complete: true, Hosts: c.plan.Hosts, Settings: []any{}}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	c.initialList = text
	return os.WriteFile(c.initialListFile(), text, 0o600)
}

// initialList is the list that dispatchers start with. A follower resumes from it only if it has settings, even if
// none has changed.
type initialList struct {
	Version  int64          `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []standin.Host `json:"hosts"`
	Settings []any          `json:"settings"`
}

// initialVersion is the version of the list at the start.
const initialVersion = 1

func (c *cluster) initialListFile() string { return filepath.Join(c.dir, "known.json") }

// forgetInitialList makes dispatchers that start from now on do so without a list.
func (c *cluster) forgetInitialList() { c.initialList = nil }

// processes returns the number of processes, this one included.
func (c *cluster) processes() int { return len(c.relays) + len(c.hollowProcesses) + len(c.daemons) + 2 }

// startRelays starts a relay for each zone, and opens a link from every zone to each.
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
	c.meter.follow(name, relay.pid())
	return addr, nil
}

// restartRelay starts a zone's relay again, at another address.
func (c *cluster) restartRelay(zone int) error {
	for _, link := range c.network.paths {
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
		c.meter.unfollow(relayName(zone))
		relay.kill()
		delete(c.relays, zone)
	}
}

// upstreamOf returns where a dispatcher of a zone gets changes from.
func (c *cluster) upstreamOf(name string, zone int) (found upstream, err error) {
	if c.mechanism == ByDiscovery {
		link, err := c.discoveryPath(name, zone)
		if err != nil {
			return found, err
		}
		found.discovery = link.addr
		return found, nil
	}
	for _, p := range c.network.paths {
		if p.fromZone == zone && p.client == "" {
			found.servers = append(found.servers, membership.Server{Zone: ZoneName(p.toZone), Address: p.addr})
		}
	}
	return found, nil
}

// discoveryPath returns a dispatcher's own link to the origin, which it keeps over a restart.
func (c *cluster) discoveryPath(name string, zone int) (*path, error) {
	for _, link := range c.network.paths {
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

// startHollowProcess starts the process of the hollow dispatchers of a zone, if it has any.
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
	c.meter.follow(processName, process.pid())
	return process.send(config)
}

// hollowConfig is the configuration of the process of a zone's hollow dispatchers.
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

// onReport handles a report of the hollow dispatchers with the names.
func (c *cluster) onReport(names []string, line []byte) {
	var report hollowReport
	if err := json.Unmarshal(line, &report); err != nil {
		report.Error = fmt.Sprintf("a hollow dispatcher's report: %v", err)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, applied := range report.Applied {
		if applied.Version > 0 {
			c.tracker.recordApplied(names[applied.Dispatcher], applied.Version, applied.AppliedAt)
		}
	}
	if report.Traffic != nil {
		c.traffic.add(*report.Traffic)
	}
	if report.Own != nil {
		c.ownCounts.add(*report.Own)
		c.ownReports++
	}
	if report.Error != "" {
		c.errs = append(c.errs, errors.New(report.Error))
	}
}

// startDaemon starts a real daemon.
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
	c.meter.follow(name, process.pid())
	return nil
}

// restartZone kills a zone's dispatchers and starts them again.
func (c *cluster) restartZone(zone int) error {
	if process := c.hollowProcesses[zone]; process != nil {
		c.meter.unfollow(hollowProcessName(zone))
		process.kill()
	}
	if err := c.startHollowProcess(zone); err != nil {
		return err
	}
	for i, process := range c.daemons {
		if daemonZone(i, c.scenario.Zones) != zone {
			continue
		}
		c.meter.unfollow(daemonName(i))
		process.kill()
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

// childError returns an error if a process has ended by itself or reported an error.
func (c *cluster) childError() error {
	for _, group := range []map[int]*child{c.relays, c.hollowProcesses, c.daemons} {
		for _, process := range group {
			select {
			case <-process.exited:
				return fmt.Errorf("%s has ended: %s", process.name, strings.TrimSpace(process.stderr.String()))
			default:
			}
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return errors.Join(c.errs...)
}

// sample reads all meters.
func (c *cluster) sample() sample {
	taken := c.meter.read()
	taken.clientBytes = c.network.ledger.totals()
	taken.sentBytes, taken.connections = c.network.serverLoad()
	return taken
}

// countBehind returns how many reachable hollow dispatchers lack a version.
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

// silentDaemons returns how many daemons have not received a byte yet.
func (c *cluster) silentDaemons() (count int) {
	totals := c.network.ledger.totals()
	for i := range c.scenario.Daemons {
		if totals[daemonName(i)] == 0 {
			count++
		}
	}
	return count
}

// collectOwnCounts requests the counts of all processes of hollow dispatchers and returns their sum.
func (c *cluster) collectOwnCounts(ctx context.Context) (ownCounts, error) {
	c.mutex.Lock()
	c.ownCounts = ownCounts{}
	c.ownReports = 0
	c.mutex.Unlock()
	for _, process := range c.hollowProcesses {
		if err := process.send("counts"); err != nil {
			return ownCounts{}, err
		}
	}
	for {
		c.mutex.Lock()
		counts := c.ownCounts
		reports := c.ownReports
		c.mutex.Unlock()
		if reports >= len(c.hollowProcesses) {
			return counts, nil
		}
		if err := c.childError(); err != nil {
			return counts, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return counts, err
		}
	}
}

// close ends all processes by their ids.
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
	for _, p := range all {
		stopping.Go(p.stop)
	}
	stopping.Wait()
	c.network.close()
}

// unixNow is the clock of all reports.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }
