package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// daemon is one dispatcher over all its processes. It is safe for concurrent use, but only the
// fault that has its claim may launch or end it.
type daemon struct {
	claim
	name    string
	address string // of the HTTP front end
	dir     string // for its files
	config  daemonConfig
	program string
	tracer  tracer   // starts its processes with failing system calls; nil: they run untraced
	options []string // of its command line, beside its configuration

	isHealthy func() bool // whether it accepts clients now
	onLaunch  func()      // called before each process

	timeline                    // what the run does to it
	connections  connectionPool // of its clients
	loop         latenessLog    // of its event loop
	accepts      latenessLog    // of requests on new connections, where it is traced
	surges       atomic.Int32   // that give it many times its requests now
	replacements atomic.Int32   // of its processes by successors
	inherited    *os.File       // the listener of its processes, where they are replaced; nil: each opens its own

	mutex      sync.Mutex
	process    *daemonProcess    // the current or last one; nil: none was launched
	logPaths   []string          // of all its processes
	crashes    []string          // descriptions
	invariants []invariantCounts // of its processes, as far as they answered
	waiters    sync.WaitGroup    // the goroutines that wait for its processes
}

// daemonProcess is one process of a dispatcher.
type daemonProcess struct {
	childprocess.Handle
	logPath      string
	endRequested bool // by the run; guarded by the daemon's mutex
}

// invariantCounts are the violations that a dispatcher has counted itself.
type invariantCounts struct {
	Violated map[string]int `json:"violated"`
}

// tracer starts a command so that its system calls fail.
type tracer func(command *exec.Cmd) (childprocess.Handle, error)

const (
	readyPollInterval  = 20 * time.Millisecond
	healthCheckTimeout = time.Second
	invariantsTimeout  = 2 * time.Second
	endTimeout         = 15 * time.Second
	shownLogBytes      = 1500
	filePermissions    = 0o600
)

// Resource limits of each dispatcher's process.
const (
	daemonCores       = 1
	daemonMemoryMB    = 192
	daemonDescriptors = 512
)

// traceOption makes a dispatcher log each step of each request.
const traceOption = "-trace"

// newDaemon prepares a dispatcher without launching it. If traced, its system calls fail by the seed.
func (r *run) newDaemon(number int, traced bool, seed uint64) (*daemon, error) {
	address, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	adminAddress, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%02d", number)
	discoveryAddress, err := r.discovery.listenFor(name)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, address: address, dir: r.dir, program: r.config.Program}
	d.isHealthy = d.passesHealthCheck
	d.onLaunch = func() { r.discovery.forgetTold(name) }
	d.config = daemonConfig{
		AdminAddress: adminAddress,
		Discovery:    discoveryAddress,
		InitialList:  r.discovery.initialList(),
		Limits:       resourceLimits{Cores: daemonCores, MemoryMB: daemonMemoryMB, Descriptors: daemonDescriptors},
		Listen:       address,
		Name:         d.name,
		Seed:         fmt.Sprintf("%016x", seed),
		Settings:     newSettings(r.config),
	}
	if traced {
		d.tracer = newTracer(seed, r.config.Duration)
	} else {
		d.options = []string{traceOption} // not of one whose system calls fail: each line is one
	}
	return d, nil
}

// launch starts a process, with the same initial endpoint list each time.
func (d *daemon) launch() error {
	configPath := filepath.Join(d.dir, d.name+".json")
	config, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(configPath, config, filePermissions); err != nil {
		return err
	}
	log, err := os.CreateTemp(d.dir, d.name+"-*.log")
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program, append([]string{"--config", configPath}, d.options...)...)
	command.Env = []string{"TMPDIR=" + d.dir}
	if d.inherited != nil {
		command.ExtraFiles = []*os.File{d.inherited}
		command.Env = append(command.Env, fmt.Sprintf("BALANCER_FD=%d", firstInheritedDescriptor))
	}
	command.Stdout = log
	command.Stderr = log
	d.onLaunch()
	handle, err := d.start(command)
	if err != nil {
		return err
	}
	process := &daemonProcess{Handle: handle, logPath: log.Name()}
	d.mutex.Lock()
	d.process = process
	d.logPaths = append(d.logPaths, log.Name())
	d.mutex.Unlock()
	d.waiters.Go(func() { d.recordEnd(process) })
	return nil
}

// start starts a command, traced or not.
func (d *daemon) start(command *exec.Cmd) (childprocess.Handle, error) {
	if d.tracer != nil {
		return d.tracer(command)
	}
	return childprocess.Start(command)
}

// recordEnd waits for the end of a process and records it as a crash unless it was requested.
func (d *daemon) recordEnd(process *daemonProcess) {
	<-process.Done()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !process.endRequested {
		d.crashes = append(d.crashes, fmt.Sprintf("%s ended by itself, %s: %s", d.name, process.Outcome(), process.endOfLog()))
	}
}

// endOfLog returns the last bytes of the process's log; empty if it cannot be read.
func (p *daemonProcess) endOfLog() string {
	log, _ := os.ReadFile(p.logPath)
	return string(log[max(len(log)-shownLogBytes, 0):])
}

// maxTraceLines bounds what is shown of the trace of a request.
const maxTraceLines = 30

// reportedViolations returns the lines of the dispatcher's logs about violations that it has counted, and about claims
// that an attempt was never sent. The caller holds the lock.
func (d *daemon) reportedViolations() (lines string) {
	for _, line := range d.linesWith("invariant ", " as never sent") {
		lines += "\n    " + line
	}
	return lines
}

// linesWith returns the first lines of the dispatcher's logs that have one of some texts. The caller holds the lock.
func (d *daemon) linesWith(texts ...string) (lines []string) {
	for _, path := range d.logPaths {
		log, _ := os.ReadFile(path) // none: nothing to show
		for line := range strings.Lines(string(log)) {
			hasText := slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) })
			if hasText && len(lines) < maxTraceLines {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// traceOf returns the lines of the dispatcher's logs about a request.
func (d *daemon) traceOf(id string) (lines []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.linesWith(id)
}

func (d *daemon) currentProcess() *daemonProcess {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.process
}

// adminAddress returns the address of the admin API of its latest process.
func (d *daemon) adminAddress() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.config.AdminAddress
}

// setAdminAddress sets the address of the admin API of its next process.
func (d *daemon) setAdminAddress(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.config.AdminAddress = address
}

func (d *daemon) addCrash(description string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crashes = append(d.crashes, description)
}

// newHTTPClient makes a client that opens a connection for each request.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// awaitReady waits until the dispatcher accepts clients. It reports false after the timeout.
func (d *daemon) awaitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if d.isHealthy() {
			return true
		}
		time.Sleep(readyPollInterval)
	}
	return false
}

// passesHealthCheck reports whether the HTTP front end says that clients may come.
func (d *daemon) passesHealthCheck() bool {
	response, err := newHTTPClient(healthCheckTimeout).Get("http://" + d.address + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends the current process by a signal and waits for it. One that does not end in time is
// killed, which counts as a crash.
func (d *daemon) end(signal syscall.Signal) {
	d.mutex.Lock()
	process := d.process
	process.endRequested = true
	d.mutex.Unlock()
	d.fetchInvariants()
	if killed := childprocess.Stop(process, signal, endTimeout); killed {
		d.addCrash(fmt.Sprintf("%s does not end on %v", d.name, signal))
	}
}

// fetchInvariants fetches the violations that the current process has counted. A process that is stopped or starting
// does not answer; its counts are then left out.
func (d *daemon) fetchInvariants() { d.fetchInvariantsFrom(d.adminAddress()) }

// fetchInvariantsFrom is fetchInvariants of the process with an admin address.
func (d *daemon) fetchInvariantsFrom(adminAddress string) {
	response, err := newHTTPClient(invariantsTimeout).Get("http://" + adminAddress + "/control/invariants")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var counts invariantCounts
	if json.NewDecoder(response.Body).Decode(&counts) != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.invariants = append(d.invariants, counts)
}

// close kills the current process and waits for the end of all.
func (d *daemon) close() {
	if d.inherited != nil {
		defer d.inherited.Close()
	}
	if d.currentProcess() == nil {
		return
	}
	d.connections.closeAll()
	d.end(syscall.SIGKILL)
	d.waiters.Wait()
}

// violations lists the crashes and the violations that the dispatcher has counted itself.
func (d *daemon) violations() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var found []string
	found = append(found, d.crashes...)
	for _, counts := range d.invariants {
		if len(counts.Violated) > 0 {
			found = append(found, fmt.Sprintf("%s counted violations itself: %v%s", d.name, counts.Violated, d.reportedViolations()))
		}
	}
	return found
}
