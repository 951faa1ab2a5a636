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

// originCommand asks the origin process to publish one version for each list of changes.
type originCommand struct {
	Versions [][]Change `json:"versions"`
}

// originReport is the origin process's reply to a line of its input: the address to the configuration, the published
// versions to a command.
type originReport struct {
	Address   string          `json:"address,omitempty"`
	Published []originVersion `json:"made,omitempty"`
}

// originVersion is a version that the origin has published.
type originVersion struct {
	Version     int64         `json:"version"`
	PublishedAt time.Duration `json:"at"` // by sharedNow
}

// RunOrigin runs an origin until its input is closed. The origin runs in a process of its own, so that its processor time
// and memory can be measured from outside.
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

// apply executes a command. Workers that have just started get the present time as their start time.
func (o *origin) apply(command originCommand) (report originReport) {
	for _, changes := range command.Versions {
		publishedAt := sharedNow()
		hosts := make([]standin.Host, len(changes))
		for i, change := range changes {
			hosts[i] = change.Host
			if change.JustStarted {
				hosts[i].BornMs = time.Now().UnixMilli()
			}
		}
		version := o.change(hosts)
		report.Published = append(report.Published, originVersion{Version: version, PublishedAt: publishedAt})
	}
	return report
}

// originProcess is a running origin process.
type originProcess struct {
	*child
	address string
	reports chan originReport
}

var errOriginEnded = errors.New("the origin has exited")

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

// request sends a message to the process and waits for its reply.
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

// change publishes one version for each list of changes.
func (p *originProcess) change(versions [][]Change) ([]originVersion, error) {
	report, err := p.request(originCommand{Versions: versions})
	return report.Published, err
}
