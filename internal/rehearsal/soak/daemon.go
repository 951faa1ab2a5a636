package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// daemon is one dispatcher, over all its processes.
type daemon struct {
	name, addr, dir string
	config          map[string]any
	program         string
	trace           tracer // starts it under failing system calls; nil: plainly

	mu      sync.Mutex
	process *process
	excused []span // when it was killed, ending, held or starting
	crashes []string
	reaped  sync.WaitGroup
	claimed atomic.Bool
	counts  []invariants // of its processes, as far as they could be asked
}

// process is one process of a dispatcher.
type process struct {
	pid      int
	log      string
	ended    chan struct{}
	expected bool // its end was asked for
}

// invariants is what a dispatcher tells of its own guard.
type invariants struct {
	Violated map[string]int `json:"violated"`
}

// settings are those of a deployment with as many dispatchers as the soak has.
const settings = `{"areas":["here"],"kinds":["m"],"my_zone":0,"peers_total":%d,"tick_us":2000,"discovery":"ask","worth_by":"work","classes":[
{"name":"status-check","repeat":"retryable","worth":3,"late_worth":0.25,"slo_us":250000,"deadline_us":3000000},
{"name":"renewal","repeat":"fragile","worth":5,"late_worth":0.5,"slo_us":200000,"deadline_us":4000000}],
"limits":{"cancel":true,"probing":true,"connect_timeout_us":250000,"conn_idle_us":10000000,"max_attempts":3,"max_retry_after_us":2000000,
"second_copies":true},"rules":{"ask_within_us":10000000,"drain_grace_us":500000},
"domain":{"tells_start":true,"progress_us":1000000,"queue_order":"fifo"},"reporting":{"via":"answers"}}`

func (r *run) newDaemon(number int, traced bool, seed uint64) (*daemon, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	d := &daemon{name: fmt.Sprintf("n%02d", number), addr: addr, dir: r.dir, program: r.Daemon}
	d.config = map[string]any{
		"name": d.name, "listen": addr, "admin_addr": admin, "discovery": r.discovery.addr(), "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "known": r.discovery.known(),
		"settings": json.RawMessage(fmt.Sprintf(settings, r.Daemons)),
	}
	if traced {
		d.trace = underFaults(seed, r.For)
	}
	return d, nil
}

// Ports below those that the kernel gives to connections of its own choice: a
// dispatcher that starts again needs the one it had.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int64

// freeAddr is an address on loopback that was free a moment ago.
func freeAddr() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1)+int64(os.Getpid()))%(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String(), nil
		}
	}
	return "", errors.New("no port is free")
}

// launch starts a process, by the list that the first one was given.
func (d *daemon) launch() error {
	path := filepath.Join(d.dir, d.name+".json")
	text, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	out, err := os.CreateTemp(d.dir, d.name+"-*.log")
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(d.program, "--config", path)
	command.Env = []string{"TMPDIR=" + d.dir}
	command.Stdout, command.Stderr = out, out
	p := &process{log: out.Name(), ended: make(chan struct{})}
	if err := d.begin(command, p); err != nil {
		return err
	}
	d.mu.Lock()
	d.process = p
	d.mu.Unlock()
	return nil
}

// begin starts a command, and books how it ends.
func (d *daemon) begin(command *exec.Cmd, p *process) error {
	wait := func() string { command.Wait(); return command.ProcessState.String() }
	if d.trace != nil {
		pid, ended, err := d.trace(command)
		if err != nil {
			return err
		}
		p.pid, wait = pid, ended
	} else {
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return err
		}
		p.pid = command.Process.Pid
	}
	d.reaped.Add(1)
	go func() {
		defer d.reaped.Done()
		how := wait()
		d.mu.Lock()
		if !p.expected {
			d.crashes = append(d.crashes, fmt.Sprintf("%s ended by itself, %s: %s", d.name, how, lastLines(p.log)))
		}
		d.mu.Unlock()
		close(p.ended)
	}()
	return nil
}

func lastLines(path string) string {
	text, _ := os.ReadFile(path)
	return string(text[max(len(text)-1500, 0):])
}

func (d *daemon) lastLog() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lastLines(d.process.log)
}

// awaitReady waits until the dispatcher says that it takes clients.
func (d *daemon) awaitReady(patience time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + d.addr + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// end ends the present process by a signal, and waits for it.
func (d *daemon) end(signal syscall.Signal) {
	d.mu.Lock()
	p := d.process
	p.expected = true
	d.mu.Unlock()
	d.ask()
	_ = syscall.Kill(p.pid, signal)
	const patience = 15 * time.Second
	select {
	case <-p.ended:
	case <-time.After(patience):
		d.mu.Lock()
		d.crashes = append(d.crashes, fmt.Sprintf("%s does not end on %v", d.name, signal))
		d.mu.Unlock()
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
		<-p.ended
	}
}

// ask asks the dispatcher for what its guard has counted.
func (d *daemon) ask() {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.config["admin_addr"].(string) + "/control/invariants")
	if err != nil {
		return // it may be held or starting
	}
	defer resp.Body.Close()
	var counts invariants
	if json.NewDecoder(resp.Body).Decode(&counts) == nil {
		d.mu.Lock()
		d.counts = append(d.counts, counts)
		d.mu.Unlock()
	}
}

// excuse books a time in which its clients cannot count on it; done ends that.
func (d *daemon) excuse() (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excused = append(d.excused, span{from: time.Now()})
	n := len(d.excused) - 1
	return func() {
		d.mu.Lock()
		d.excused[n].to = time.Now()
		d.mu.Unlock()
	}
}

// isExcused tells whether any of a time was excused.
func (d *daemon) isExcused(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.excused {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

func (d *daemon) close() {
	if d.process == nil {
		return
	}
	d.end(syscall.SIGKILL)
	d.reaped.Wait()
}

// tracer starts a command so that its system calls fail, and returns how to wait for its end.
type tracer func(command *exec.Cmd) (pid int, wait func() string, err error)

// violations lists what the dispatcher itself counted, and its crashes.
func (d *daemon) violations() (found []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found = append(found, d.crashes...)
	for _, c := range d.counts {
		if len(c.Violated) > 0 {
			found = append(found, strings.TrimSpace(fmt.Sprintf("%s counted violations itself: %v", d.name, c.Violated)))
		}
	}
	return found
}
