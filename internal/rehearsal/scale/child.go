package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// This file owns child processes: each is started, spoken to in JSON lines over
// its pipes and ended by its id. A child that hears the end of its input ends by
// itself, so that none outlives this process.

// child is one running process.
type child struct {
	name   string
	cmd    *exec.Cmd
	input  io.WriteCloser
	ended  chan struct{}
	mu     sync.Mutex // orders what is written to input
	stderr tail
}

const longestLine = 64 << 20

// startChild starts a command; heard gets each line of its output on one goroutine.
func startChild(name string, cmd *exec.Cmd, heard func(line []byte)) (*child, error) {
	c := &child{name: name, cmd: cmd, ended: make(chan struct{})}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.input = input
	cmd.Stderr = &c.stderr
	// If this process is killed, the kernel ends the child.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, longestLine)
		for lines.Scan() {
			if heard != nil {
				heard(lines.Bytes())
			}
		}
		io.Copy(io.Discard, output)
		cmd.Wait()
		close(c.ended)
	}()
	return c, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// tell writes a message as a JSON line.
func (c *child) tell(message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err = c.input.Write(append(text, '\n'))
	return err
}

// kill ends the process at once and waits for its end.
func (c *child) kill() {
	c.cmd.Process.Signal(os.Kill) // by its id; one that has ended is not signalled
	<-c.ended
}

// stop asks the process to end and kills it if it does not in time.
func (c *child) stop() {
	c.input.Close()
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(stopPatience):
		c.kill()
	}
}

const stopPatience = 3 * time.Second

// tail keeps the first bytes of what a child writes to its log.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const mostTail = 64 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if room := mostTail - len(t.text); room > 0 {
		t.text = append(t.text, p[:min(room, len(p))]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
