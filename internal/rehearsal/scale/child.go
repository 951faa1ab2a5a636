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

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// child is a running child process. Messages are JSON lines over its pipes. A child ends by itself when its input
// ends, so that none outlives this process.
type child struct {
	name       string
	cmd        *exec.Cmd
	input      io.WriteCloser
	exited     chan struct{}
	inputMutex sync.Mutex // serializes writes to input
	stderr     childprocess.Output
}

// maxLineBytes bounds a message of a child.
const maxLineBytes = 64 << 20

// startChild starts a command. onLine, which may be nil, gets each line of its output, on one goroutine.
func startChild(name string, cmd *exec.Cmd, onLine func(line []byte)) (*child, error) {
	started := &child{
		name:   name,
		cmd:    cmd,
		exited: make(chan struct{}),
		stderr: childprocess.Output{Limit: maxLogBytes},
	}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started.input = input
	cmd.Stderr = &started.stderr
	// If this process is killed, the kernel ends the child.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		scanner := bufio.NewScanner(output)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if onLine != nil {
				onLine(scanner.Bytes())
			}
		}
		io.Copy(io.Discard, output)
		cmd.Wait()
		close(started.exited)
	}()
	return started, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// send writes a message as a JSON line.
func (c *child) send(message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	c.inputMutex.Lock()
	defer c.inputMutex.Unlock()
	_, err = c.input.Write(append(text, '\n'))
	return err
}

// kill kills the process and waits for its end.
func (c *child) kill() {
	c.cmd.Process.Signal(os.Kill) // no signal is sent to a process that has ended
	<-c.exited
}

// stop asks the process to end, and kills it if it does not in time.
func (c *child) stop() {
	c.input.Close()
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(stopTimeout):
		c.kill()
	}
}

// stopTimeout is how long a child may take to end by itself.
const stopTimeout = 3 * time.Second

// maxLogBytes bounds the part of a child's log that is kept.
const maxLogBytes = 64 << 10
