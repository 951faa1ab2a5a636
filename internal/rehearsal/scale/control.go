package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns the origin as a process of its own, so that what it costs can be
// metered from outside, and how the run speaks to it.

// originConfig is the first line that the process reads.
type originConfig struct {
	LogChanges int `json:"log_changes"`
}

// originCommand makes one version for each list of changes.
type originCommand struct {
	Versions [][]Change `json:"versions"`
}

// originReport answers each line.
type originReport struct {
	Address string          `json:"address,omitempty"`
	Made    []originVersion `json:"made,omitempty"`
}

// originVersion is a version that was made.
type originVersion struct {
	Version int64         `json:"version"`
	At      time.Duration `json:"at"` // Unix time
}

// RunOrigin runs an origin until its input ends.
func RunOrigin(in io.Reader, out io.Writer) error {
	read, write := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	var config originConfig
	if err := read.Decode(&config); err != nil {
		return err
	}
	o, addr, err := startOrigin(max(config.LogChanges, 1))
	if err != nil {
		return err
	}
	defer o.close()
	if err := write.Encode(originReport{Address: addr}); err != nil {
		return err
	}
	for {
		var command originCommand
		if err := read.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := write.Encode(o.do(command)); err != nil {
			return err
		}
	}
}

// do carries out a command. What is fresh has started now.
func (o *origin) do(command originCommand) (r originReport) {
	for _, changes := range command.Versions {
		now := time.Now()
		hosts := make([]standin.Host, len(changes))
		for i, change := range changes {
			hosts[i] = change.Host
			if change.Fresh {
				hosts[i].BornMs = now.UnixMilli()
			}
		}
		v := o.change(hosts)
		r.Made = append(r.Made, originVersion{Version: v, At: time.Duration(now.UnixNano())})
	}
	return r
}

// originProcess is the run's end of it.
type originProcess struct {
	*child
	addr    string
	answers chan originReport
}

var errOriginEnded = errors.New("the origin has ended")

func startOriginProcess(cmd *exec.Cmd, logChanges int) (*originProcess, error) {
	p := &originProcess{answers: make(chan originReport, 1)}
	c, err := startChild(originName, cmd, func(line []byte) {
		var r originReport
		if json.Unmarshal(line, &r) == nil {
			p.answers <- r
		}
	})
	if err != nil {
		return nil, err
	}
	p.child = c
	answer, err := p.ask(originConfig{LogChanges: logChanges})
	p.addr = answer.Address
	return p, err
}

// ask tells the process something and waits for its answer.
func (p *originProcess) ask(message any) (originReport, error) {
	if err := p.tell(message); err != nil {
		return originReport{}, err
	}
	select {
	case r := <-p.answers:
		return r, nil
	case <-p.ended:
		return originReport{}, errOriginEnded
	}
}

// change makes versions.
func (p *originProcess) change(versions [][]Change) ([]originVersion, error) {
	r, err := p.ask(originCommand{Versions: versions})
	return r.Made, err
}
