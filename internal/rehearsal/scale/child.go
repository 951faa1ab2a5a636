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

// child is a running child process. Messages to and from it are lines of JSON on its standard input and output. A child
// exits when its input is closed, so that none outlives this process.
type child struct {
	name       string
	cmd        *exec.Cmd
	input      io.WriteCloser
	exited     chan struct{}
	inputMutex sync.Mutex // serializes writes to input
	stderr     childprocess.Output
}

// maxLineBytes is the maximum length of one line of a child's output.
const maxLineBytes = 64 << 20

// startChild starts a command. onLine, which may be nil, is called with each line of its output; all calls come from one
// goroutine.
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
	// If this process is killed, the kernel kills the child.
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

// send writes a message to the child as a line of JSON.
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

// kill kills the process and waits until it has exited.
func (c *child) kill() {
	c.cmd.Process.Signal(os.Kill) // does nothing if the process has already exited
	<-c.exited
}

// stop asks the process to exit, and kills it if it has not done so within stopTimeout.
func (c *child) stop() {
	c.input.Close()
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(stopTimeout):
		c.kill()
	}
}

// stopTimeout is the time that a child has to exit after it is asked to.
const stopTimeout = 3 * time.Second

// maxLogBytes is the number of bytes of a child's standard error that are kept.
const maxLogBytes = 64 << 10
