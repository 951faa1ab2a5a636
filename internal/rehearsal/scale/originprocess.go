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

// originConfig is the first line that the origin process reads.
type originConfig struct {
	LogChanges int `json:"log_changes"`
}

// originCommand asks for one version for each list of changes.
type originCommand struct {
	Versions [][]Change `json:"versions"`
}

// originReport answers each line that the origin process reads.
type originReport struct {
	Address string          `json:"address,omitempty"`
	Made    []originVersion `json:"made,omitempty"`
}

// originVersion is a version that was made.
type originVersion struct {
	Version int64         `json:"version"`
	MadeAt  time.Duration `json:"at"` // Unix time
}

// RunOrigin runs an origin until its input ends. It is a process of its own, so that its cost can be metered from
// outside.
func RunOrigin(input io.Reader, output io.Writer) error {
	decoder := json.NewDecoder(bufio.NewReader(input))
	encoder := json.NewEncoder(output)
	var config originConfig
	if err := decoder.Decode(&config); err != nil {
		return err
	}
	started, address, err := startOrigin(max(config.LogChanges, 1))
	if err != nil {
		return err
	}
	defer started.close()
	if err := encoder.Encode(originReport{Address: address}); err != nil {
		return err
	}
	for {
		var command originCommand
		err := decoder.Decode(&command)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := encoder.Encode(started.apply(command)); err != nil {
			return err
		}
	}
}

// apply carries out a command. Workers that have just started get the present time as their start.
func (o *origin) apply(command originCommand) (report originReport) {
	for _, changes := range command.Versions {
		now := time.Now()
		hosts := make([]standin.Host, len(changes))
		for i, change := range changes {
			hosts[i] = change.Host
			if change.JustStarted {
				hosts[i].BornMs = now.UnixMilli()
			}
		}
		version := o.change(hosts)
		report.Made = append(report.Made, originVersion{Version: version, MadeAt: time.Duration(now.UnixNano())})
	}
	return report
}

// originProcess is a running origin process.
type originProcess struct {
	*child
	address string
	reports chan originReport
}

var errOriginEnded = errors.New("the origin has ended")

func startOriginProcess(cmd *exec.Cmd, logChanges int) (*originProcess, error) {
	process := &originProcess{reports: make(chan originReport, 1)}
	started, err := startChild(originName, cmd, func(line []byte) {
		var report originReport
		if json.Unmarshal(line, &report) == nil {
			process.reports <- report
		}
	})
	if err != nil {
		return nil, err
	}
	process.child = started
	report, err := process.request(originConfig{LogChanges: logChanges})
	process.address = report.Address
	return process, err
}

// request sends a message and waits for its report.
func (p *originProcess) request(message any) (originReport, error) {
	if err := p.send(message); err != nil {
		return originReport{}, err
	}
	select {
	case report := <-p.reports:
		return report, nil
	case <-p.exited:
		return originReport{}, errOriginEnded
	}
}

// change makes one version for each list of changes.
func (p *originProcess) change(versions [][]Change) ([]originVersion, error) {
	report, err := p.request(originCommand{Versions: versions})
	return report.Made, err
}
