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

// daemon is one dispatcher of a run with all its processes, which follow one another. It is safe for concurrent use,
// but only the fault that holds its claim may start or end a process.
type daemon struct {
	claim
	name    string
	address string // address of the HTTP front end
	dir     string // directory of its files
	config  daemonConfig
	program string
	tracer  tracer   // starts its processes under a tracer that makes system calls fail; nil if they are not traced
	options []string // command-line options besides the configuration

	isHealthy func() bool // reports whether the dispatcher accepts clients now
	onLaunch  func()      // called before each start of a process

	timeline                         // when the run starts, kills or shuts down its processes
	connections       connectionPool // idle connections of its clients
	loopLateness      latenessLog    // lateness of its event loop
	acceptLateness    latenessLog    // lateness of answers on new connections; measured only if it is traced
	surges            atomic.Int32   // number of networkSurge faults that are active
	memory            memoryPeak
	replacements      atomic.Int32 // number of its processes that were replaced by successors
	inheritedListener *os.File     // listener that its processes inherit; nil if each process opens its own

	mutex      sync.Mutex
	process    *daemonProcess    // latest process; nil if none was launched
	logPaths   []string          // paths of the logs of all its processes
	crashes    []string          // descriptions of its crashes
	invariants []invariantCounts // from the processes that answered fetchInvariants
	waiters    sync.WaitGroup    // goroutines that wait for the ends of its processes
}

// daemonProcess is one process of a dispatcher.
type daemonProcess struct {
	childprocess.Handle
	pid          int
	logPath      string
	endRequested bool // the run has requested the end; guarded by the daemon's mutex
}

// invariantCounts holds the number of violations of each invariant that a dispatcher has counted itself.
type invariantCounts struct {
	Violated map[string]int `json:"violated"`
}

// tracer starts a command under a tracer that makes system calls fail.
type tracer func(command *exec.Cmd) (childprocess.Handle, error)

const (
	readyPollInterval  = 20 * time.Millisecond
	healthCheckTimeout = time.Second
	invariantsTimeout  = 2 * time.Second
	endTimeout         = 15 * time.Second
	logTailBytes       = 1500
	filePermissions    = 0o600
)

// Resource limits in each dispatcher's configuration.
const (
	daemonCores       = 1
	daemonMemoryMB    = 192
	daemonDescriptors = 512
)

// traceOption makes a dispatcher log each step of each request.
const traceOption = "-trace"

// newDaemon prepares a dispatcher without starting a process. If traced is true, system calls of its processes fail
// according to a plan that is generated from the seed.
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
	d.onLaunch = func() { r.discovery.resetNotifications(name) }
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
		d.options = []string{traceOption} // not for a traced dispatcher, since writing each line takes a system call
	}
	return d, nil
}

// launch starts a process of the dispatcher. All processes start with the same initial endpoint list.
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
	if d.inheritedListener != nil {
		command.ExtraFiles = []*os.File{d.inheritedListener}
		command.Env = append(command.Env, fmt.Sprintf("BALANCER_FD=%d", firstInheritedDescriptor))
	}
	command.Stdout = log
	command.Stderr = log
	d.onLaunch()
	handle, err := d.start(command)
	if err != nil {
		return err
	}
	process := &daemonProcess{Handle: handle, pid: command.Process.Pid, logPath: log.Name()}
	d.mutex.Lock()
	d.process = process
	d.logPaths = append(d.logPaths, log.Name())
	d.mutex.Unlock()
	d.waiters.Go(func() { d.recordEnd(process) })
	return nil
}

// start starts a command, under the tracer if there is one.
func (d *daemon) start(command *exec.Cmd) (childprocess.Handle, error) {
	if d.tracer != nil {
		return d.tracer(command)
	}
	return childprocess.Start(command)
}

// recordEnd waits for the end of a process, and records a crash unless the run has requested the end.
func (d *daemon) recordEnd(process *daemonProcess) {
	<-process.Done()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !process.endRequested {
		d.crashes = append(d.crashes, fmt.Sprintf("%s ended by itself, %s: %s", d.name, process.Outcome(), process.logTail()))
	}
}

// logTail returns the last bytes of the process's log, or an empty string if the log cannot be read.
func (p *daemonProcess) logTail() string {
	log, _ := os.ReadFile(p.logPath)
	return string(log[max(len(log)-logTailBytes, 0):])
}

// maxTraceLines is the maximum number of lines that logLinesWith returns.
const maxTraceLines = 30

// reportedViolations returns lines of the dispatcher's logs, each indented on a new line, that report a violation of an
// invariant or that call an attempt never sent. The caller must hold the mutex.
func (d *daemon) reportedViolations() (lines string) {
	for _, line := range d.logLinesWith("invariant ", " as never sent") {
		lines += "\n    " + line
	}
	return lines
}

// logLinesWith returns the first lines of the dispatcher's logs that contain one of the texts. The caller must
// hold the mutex.
func (d *daemon) logLinesWith(texts ...string) (lines []string) {
	for _, path := range d.logPaths {
		log, _ := os.ReadFile(path) // a log that cannot be read has no lines
		for line := range strings.Lines(string(log)) {
			hasText := slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) })
			if hasText && len(lines) < maxTraceLines {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// traceOf returns the first lines of the dispatcher's logs that contain the ID of a request.
func (d *daemon) traceOf(id string) (lines []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.logLinesWith(id)
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

// setAdminAddress sets the address of the admin API for its next process.
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

// newHTTPClient returns a client that opens a new connection for each request.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// awaitReady waits until the dispatcher accepts clients. It returns false if that takes longer than the timeout.
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

// passesHealthCheck reports whether the health check of the HTTP front end succeeds.
func (d *daemon) passesHealthCheck() bool {
	response, err := newHTTPClient(healthCheckTimeout).Get("http://" + d.address + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end sends a signal to the current process and waits for its end. A process that has not ended
// after endTimeout is killed, which counts as a crash.
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

// fetchInvariants fetches and records the violations that the current process has counted. It records nothing if the
// process does not answer, for example because it is stopped or just starting.
func (d *daemon) fetchInvariants() { d.fetchInvariantsFrom(d.adminAddress()) }

// fetchInvariantsFrom does the same as fetchInvariants, but for the process with the given admin address.
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

// close kills the current process and waits for the end of all processes.
func (d *daemon) close() {
	if d.inheritedListener != nil {
		defer d.inheritedListener.Close()
	}
	if d.currentProcess() == nil {
		return
	}
	d.connections.closeAll()
	d.end(syscall.SIGKILL)
	d.waiters.Wait()
}

// violations returns descriptions of the dispatcher's crashes and of the violations that it has counted itself.
func (d *daemon) violations() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var found []string
	found = append(found, d.crashes...)
	found = append(found, d.memory.violations(d.name)...)
	for _, counts := range d.invariants {
		if len(counts.Violated) > 0 {
			found = append(found, fmt.Sprintf("%s counted violations itself: %v%s", d.name, counts.Violated, d.reportedViolations()))
		}
	}
	return found
}
