package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// daemon is one dispatcher over all its processes. It is safe for concurrent use, but only the
// fault that has its claim may launch or end it.
type daemon struct {
	claim
	name    string
	addr    string
	dir     string
	config  daemonConfig
	program string
	trace   tracer // starts it with failing system calls; nil: without

	mu          sync.Mutex
	process     *process
	unavailable []interval // when it was killed, ending, stopped or starting
	crashes     []string
	waiters     sync.WaitGroup
	invariants  []invariantCounts // of its processes, as far as they answered
}

// process is one process of a dispatcher.
type process struct {
	pid      int
	log      string // path
	ended    chan struct{}
	expected bool // its end was requested
}

// invariantCounts are the violations that a dispatcher has counted itself.
type invariantCounts struct {
	Violated map[string]int `json:"violated"`
}

// tracer starts a command so that its system calls fail. wait returns when the process has ended,
// and says how.
type tracer func(command *exec.Cmd) (pid int, wait func() string, err error)

const (
	clientTimeout     = time.Second
	readyPollInterval = 20 * time.Millisecond
	endTimeout        = 15 * time.Second
	invariantsTimeout = 2 * time.Second
	shownLogBytes     = 1500
	filePermissions   = 0o600
	daemonCores       = 1
	daemonMemoryMB    = 192
	daemonDescriptors = 512
)

// newDaemon prepares a dispatcher; traced: its system calls fail by the seed.
func (r *run) newDaemon(number int, traced bool, seed uint64) (*daemon, error) {
	addr, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	d := &daemon{name: fmt.Sprintf("n%02d", number), addr: addr, dir: r.dir, program: r.Daemon}
	d.config = daemonConfig{
		AdminAddr:   admin,
		Discovery:   r.discovery.addr(),
		InitialList: r.discovery.initialList(),
		Limits:      resourceLimits{Cores: daemonCores, MemoryMB: daemonMemoryMB, Descriptors: daemonDescriptors},
		Listen:      addr,
		Name:        d.name,
		Seed:        fmt.Sprintf("%016x", seed),
		Settings:    json.RawMessage(fmt.Sprintf(settings, r.Daemons)),
	}
	if traced {
		d.trace = underFaults(seed, r.Duration)
	}
	return d, nil
}

// launch starts a process, with the same initial endpoint list each time.
func (d *daemon) launch() error {
	path := filepath.Join(d.dir, d.name+".json")
	text, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, filePermissions); err != nil {
		return err
	}
	log, err := os.CreateTemp(d.dir, d.name+"-*.log")
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program, "--config", path)
	command.Env = []string{"TMPDIR=" + d.dir}
	command.Stdout = log
	command.Stderr = log
	p := &process{log: log.Name(), ended: make(chan struct{})}
	wait, err := d.startCommand(command, p)
	if err != nil {
		return err
	}
	d.waiters.Add(1)
	go d.awaitEnd(p, wait)
	d.mu.Lock()
	d.process = p
	d.mu.Unlock()
	return nil
}

// startCommand starts the command of a process, traced or not.
func (d *daemon) startCommand(command *exec.Cmd, p *process) (wait func() string, err error) {
	if d.trace != nil {
		p.pid, wait, err = d.trace(command)
		return wait, err
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p.pid = command.Process.Pid
	wait = func() string {
		command.Wait()
		return command.ProcessState.String()
	}
	return wait, nil
}

// awaitEnd waits for the end of a process and records it as a crash unless it was requested.
func (d *daemon) awaitEnd(p *process, wait func() string) {
	defer d.waiters.Done()
	state := wait()
	d.mu.Lock()
	if !p.expected {
		d.crashes = append(d.crashes, fmt.Sprintf("%s ended by itself, %s: %s", d.name, state, endOfLog(p.log)))
	}
	d.mu.Unlock()
	close(p.ended)
}

// endOfLog returns the last bytes of a log file.
func endOfLog(path string) string {
	text, _ := os.ReadFile(path)
	return string(text[max(len(text)-shownLogBytes, 0):])
}

// lastLog returns the end of the current process's log.
func (d *daemon) lastLog() string { return endOfLog(d.currentProcess().log) }

func (d *daemon) currentProcess() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

func (d *daemon) addCrash(description string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes = append(d.crashes, description)
}

// newClient makes a client that opens a connection for each request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// awaitReady waits until the dispatcher accepts clients. It reports false after the timeout.
func (d *daemon) awaitReady(timeout time.Duration) bool {
	client := newClient(clientTimeout)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		answer, err := client.Get("http://" + d.addr + "/healthz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// end ends the current process by a signal and waits for it; one that does not end is killed.
func (d *daemon) end(signal syscall.Signal) {
	d.mu.Lock()
	p := d.process
	p.expected = true
	d.mu.Unlock()
	d.fetchInvariants()
	_ = syscall.Kill(p.pid, signal)
	select {
	case <-p.ended:
	case <-time.After(endTimeout):
		d.addCrash(fmt.Sprintf("%s does not end on %v", d.name, signal))
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
		<-p.ended
	}
}

// fetchInvariants fetches the violations that the dispatcher has counted; one that is stopped or
// starting does not answer.
func (d *daemon) fetchInvariants() {
	answer, err := newClient(invariantsTimeout).Get("http://" + d.config.AdminAddr + "/control/invariants")
	if err != nil {
		return
	}
	defer answer.Body.Close()
	var counts invariantCounts
	if json.NewDecoder(answer.Body).Decode(&counts) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.invariants = append(d.invariants, counts)
}

// markUnavailable begins an interval in which clients cannot rely on the dispatcher; available
// ends it.
func (d *daemon) markUnavailable() (available func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = append(d.unavailable, interval{from: time.Now()})
	index := len(d.unavailable) - 1
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.unavailable[index].to = time.Now()
	}
}

// wasUnavailable reports whether the dispatcher was unavailable at any time between two.
func (d *daemon) wasUnavailable(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.unavailable {
		if i.from.Before(to) && (i.to.IsZero() || i.to.After(from)) {
			return true
		}
	}
	return false
}

// close kills the current process and waits for all.
func (d *daemon) close() {
	if d.process == nil {
		return
	}
	d.end(syscall.SIGKILL)
	d.waiters.Wait()
}

// violations lists the crashes and the violations that the dispatcher has counted itself.
func (d *daemon) violations() (found []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found = append(found, d.crashes...)
	for _, counts := range d.invariants {
		if len(counts.Violated) > 0 {
			found = append(found, strings.TrimSpace(fmt.Sprintf("%s counted violations itself: %v", d.name, counts.Violated)))
		}
	}
	return found
}
