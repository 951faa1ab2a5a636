//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a program of the project that a case has started. Its log is written to a file.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// runCommand reads the command that starts the daemon from the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run command")
	}
	return string(found[1]), nil
}

// start starts a shell command from the root of the repository, as the platform does, with further variables in its
// environment.
func (c *testCase) start(name, shellCommand string, environment ...string) *process {
	logFile, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.cannotRun("%v", err)
	}
	command := exec.Command("/bin/sh", "-c", shellCommand)
	command.Env = append(os.Environ(), environment...)
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		c.cannotRun("%s: %v", name, err)
	}
	started := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		command.Wait()
		logFile.Close()
		close(started.ended)
	}()
	c.mutex.Lock()
	c.processes = append(c.processes, started)
	c.mutex.Unlock()
	c.record("platform: %s started, process %d", name, command.Process.Pid)
	return started
}

// startDaemon starts the daemon by the deploy file's command, with the options that operators may add to it. It has a
// private, empty folder for temporary files.
func (c *testCase) startDaemon(name string, config map[string]any, options string, environment ...string) *process {
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		c.cannotRun("%v", err)
	}
	path := c.writeFile(name+".json", string(text))
	temporary := filepath.Join(c.dir, name+".tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		c.cannotRun("%v", err)
	}
	command, err := runCommand()
	if err != nil {
		c.cannotRun("%v", err)
	}
	return c.start(name, command+options, append([]string{"BALANCER_CONFIG=" + path, "TMPDIR=" + temporary}, environment...)...)
}

// writeFile writes a file into the case's temporary folder and returns its path.
func (c *testCase) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.cannotRun("%v", err)
	}
	return path
}

// signal sends a signal to the process, and records it.
func (c *testCase) signal(p *process, signal syscall.Signal) {
	c.record("platform: %s gets %v", p.name, signal)
	p.command.Process.Signal(signal)
}

// hasEnded reports whether the process ends within a time.
func (p *process) hasEnded(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// freeAddress returns a loopback address whose port is free.
func (c *testCase) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.cannotRun("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// testCase is one case in progress.
type testCase struct {
	number    string
	dir       string // for temporary files
	trouble   bool   // whether the disruption takes place
	startedAt time.Time
	finishing atomic.Bool

	mutex      sync.Mutex
	processes  []*process
	output     *os.File // record.txt
	violations int
}

// record writes a line with the time since the start of the case to record.txt.
func (c *testCase) record(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordLocked(format, values...)
}

func (c *testCase) recordLocked(format string, values ...any) {
	fmt.Fprintf(c.output, "%9.3f %s\n", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// violated records that the rule was broken.
func (c *testCase) violated(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations++
	c.recordLocked("RULE BROKEN: "+format, values...)
}

// cannotRun ends the case because it could not be carried out. What fails because the case is ending does not count.
func (c *testCase) cannotRun(format string, values ...any) {
	if c.finishing.Load() {
		select {} // finish exits
	}
	c.record("the case could not run: "+format, values...)
	fmt.Fprintf(os.Stderr, "case %s could not run: %s\n", c.number, fmt.Sprintf(format, values...))
	c.finish(2)
}

// waitUntil waits until a condition holds. If it does not hold in time, the case could not run.
func (c *testCase) waitUntil(what string, within time.Duration, condition func() bool) {
	end := time.Now().Add(within)
	for !condition() {
		if time.Now().After(end) {
			c.cannotRun("%s did not happen within %v", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// finish ends all processes that the case has started, appends their logs to record.txt, removes the temporary folder and
// exits. Only the first call has an effect.
func (c *testCase) finish(code int) {
	if c.finishing.Swap(true) {
		select {} // the first call exits
	}
	c.mutex.Lock()
	started := c.processes
	c.mutex.Unlock()
	for _, process := range started {
		process.command.Process.Kill()
	}
	for _, process := range started {
		<-process.ended
		text, _ := os.ReadFile(filepath.Join(c.dir, process.name+".log"))
		c.record("the log of %s:\n%s", process.name, text)
	}
	os.RemoveAll(c.dir)
	c.record("exit code %d", code)
	os.Exit(code)
}

// conclude ends the case with the result of the rule.
func (c *testCase) conclude() {
	c.mutex.Lock()
	violations := c.violations
	c.mutex.Unlock()
	if violations > 0 {
		fmt.Printf("case %s: the rule was broken %d times\n", c.number, violations)
		c.finish(1)
	}
	fmt.Printf("case %s: the rule held\n", c.number)
	c.finish(0)
}
