//go:build review

// Package harness holds what the review cases share: the record of a run, the start of the
// daemon with the command of deploy/balancer.toml, and stand-ins for discovery, workers,
// clients and the platform.
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// maxRunTime is the time after which a case ends itself as not run.
const maxRunTime = 115 * time.Second

// Run is one run of a case: its record, its temporary folder and its processes.
type Run struct {
	Folder  string // temporary
	Trouble bool   // whether the case's disruption happens; run.sh leaves it out with TROUBLE=0

	mu      sync.Mutex
	began   time.Time
	record  *os.File
	daemons []*Daemon
	broken  int
}

// Start opens record.txt in the folder of the case. The program's arguments are that folder, and
// whether the disruption is on or off.
func Start() *Run {
	if len(os.Args) != 3 || os.Args[2] != "on" && os.Args[2] != "off" {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM CASE-FOLDER on|off")
		os.Exit(ExitNotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	run := &Run{began: time.Now(), record: record, Trouble: os.Args[2] == "on"}
	run.Folder, err = os.MkdirTemp("", "review-")
	run.Must(err)
	time.AfterFunc(maxRunTime, func() { run.NotRun("the case did not end in time") })
	run.Log("the disruption is on: %v", run.Trouble)
	return run
}

// Log writes a line with the time since the start to the record and to standard output.
func (r *Run) Log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	r.record.WriteString(line)
	fmt.Print(line)
}

// Broken records that the rule was broken.
func (r *Run) Broken(format string, arguments ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.Log("RULE BROKEN: "+format, arguments...)
}

// Must ends the run as not run if err is not nil.
func (r *Run) Must(err error) {
	if err != nil {
		r.NotRun("%v", err)
	}
}

// NotRun ends the run as one that could not run.
func (r *Run) NotRun(format string, arguments ...any) {
	r.Log("could not run: "+format, arguments...)
	r.end(ExitNotRun)
}

// End ends all processes and exits with the result.
func (r *Run) End() {
	if r.broken > 0 {
		r.Log("result: the rule was broken %d times", r.broken)
		r.end(ExitBroken)
	}
	r.Log("result: the rule held")
	r.end(ExitHeld)
}

func (r *Run) end(code int) {
	r.mu.Lock()
	daemons := r.daemons
	r.mu.Unlock()
	for _, daemon := range daemons {
		daemon.kill()
	}
	os.RemoveAll(r.Folder)
	os.Exit(code)
}

// FreeAddress returns a loopback address whose port was free a moment ago.
func (r *Run) FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// Daemon is a process of the project that runs on its own.
type Daemon struct {
	run     *Run
	name    string
	command *exec.Cmd
	exited  chan struct{}
	code    int
}

// StartProcess starts a shell command in the repository's root. files become the descriptors
// from 3 on.
func (r *Run) StartProcess(name, shell string, env []string, files ...*os.File) *Daemon {
	command := exec.Command("/bin/sh", "-c", shell)
	command.Env = append(append([]string{}, os.Environ()...), env...)
	command.ExtraFiles = files
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(r.Folder, name+".log"))
	r.Must(err)
	writer := &logWriter{run: r, name: name, file: log}
	command.Stdout = writer
	command.Stderr = writer
	daemon := &Daemon{run: r, name: name, command: command, exited: make(chan struct{})}
	r.Must(command.Start())
	r.Log("%s: started: %s", name, shell)
	r.mu.Lock()
	r.daemons = append(r.daemons, daemon)
	r.mu.Unlock()
	go func() {
		command.Wait()
		daemon.code = command.ProcessState.ExitCode()
		r.Log("%s: exited with %d (%s)", name, daemon.code, command.ProcessState)
		close(daemon.exited)
	}()
	return daemon
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) {
	d.run.Log("%s: signal %v", d.name, signal)
	d.command.Process.Signal(signal)
}

// Exited reports whether the process has ended.
func (d *Daemon) Exited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// WaitExit waits for the end of the process, and kills it after the given time.
func (d *Daemon) WaitExit(limit time.Duration) {
	select {
	case <-d.exited:
	case <-time.After(limit):
		d.Signal(syscall.SIGKILL)
		<-d.exited
	}
}

func (d *Daemon) kill() {
	if d.Exited() {
		return
	}
	d.command.Process.Kill()
	select {
	case <-d.exited:
	case <-time.After(2 * time.Second):
	}
}

// logWriter copies the log of a process to the record.
type logWriter struct {
	run  *Run
	name string
	file *os.File
	rest []byte
}

func (w *logWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		end := -1
		for i, b := range w.rest {
			if b == '\n' {
				end = i
				break
			}
		}
		if end < 0 {
			return len(p), nil
		}
		w.run.Log("%s log: %s", w.name, w.rest[:end])
		w.rest = w.rest[end+1:]
	}
}
