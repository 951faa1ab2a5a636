package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns one real daemon as a process: its configuration, its start and
// its end. It must never leave the process behind.

// Zones is how many zones the target has.
const Zones = 17

// daemonConfig is the daemon's configuration file.
type daemonConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	AdminAddr string          `json:"admin_addr"`
	Limits    processLimits   `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// dispatcherSettings is the settings object, as internal/settings reads it.
type dispatcherSettings struct {
	Areas      []string        `json:"areas"`
	Kinds      []string        `json:"kinds"`
	MyZone     int             `json:"my_zone"`
	PeersTotal int             `json:"peers_total"`
	TickUs     int             `json:"tick_us"`
	WorthBy    string          `json:"worth_by"`
	Projects   []projectQuota  `json:"projects"`
	Classes    []classSettings `json:"classes"`
	Limits     attemptLimits   `json:"limits"`
	Rules      workerRules     `json:"rules"`
	Domain     domainSettings  `json:"domain"`
}

type projectQuota struct {
	PerSecond float64 `json:"quota_per_s"`
}

type classSettings struct {
	Name       string  `json:"name"`
	Repeat     string  `json:"repeat"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
	AimUs      int     `json:"slo_us"`
	Stretch    float64 `json:"aim_stretch"`
	DeadlineUs int     `json:"deadline_us"`
}

type attemptLimits struct {
	Cancel           bool `json:"cancel"`
	SecondCopies     bool `json:"second_copies"`
	MaxAttempts      int  `json:"max_attempts"`
	ConnectTimeoutUs int  `json:"connect_timeout_us"`
	ConnIdleUs       int  `json:"conn_idle_us"`
	MaxRetryAfterUs  int  `json:"max_retry_after_us"`
}

type workerRules struct {
	ColdFrom     float64 `json:"cold_from"`
	WarmAfterUs  int     `json:"warm_after_us"`
	FallMultiple float64 `json:"fall_multiple"`
	FallUs       int     `json:"fall_us"`
	DrainGraceUs int     `json:"drain_grace_us"`
}

type domainSettings struct {
	TellsStart bool   `json:"tells_start"`
	ProgressUs int    `json:"progress_us"`
	QueueOrder string `json:"queue_order"`
	ReportX0   string `json:"report_x0"`
}

// zoneNames names the zones of the target.
func zoneNames() (names []string) {
	for i := range Zones {
		names = append(names, fmt.Sprintf("zone-%02d", i+1))
	}
	return names
}

// settingsOf words the settings of one of peers dispatchers, with so many teams.
func settingsOf(peers, teams int) (json.RawMessage, error) {
	s := dispatcherSettings{Areas: zoneNames(), Kinds: []string{kindName}, PeersTotal: peers, TickUs: 2000, WorthBy: "work",
		Projects: make([]projectQuota, teams),
		Classes: []classSettings{
			{Name: "status-check", Repeat: "retryable", Worth: 3, LateWorth: 0.25, AimUs: 250_000, Stretch: 2, DeadlineUs: 5_000_000},
			{Name: "renewal", Repeat: "fragile", Worth: 5, LateWorth: 0.5, AimUs: 200_000, Stretch: 2, DeadlineUs: 8_000_000},
		},
		Limits: attemptLimits{Cancel: true, SecondCopies: true, MaxAttempts: 3, ConnectTimeoutUs: 250_000, ConnIdleUs: 10_000_000, MaxRetryAfterUs: 2_000_000},
		Rules:  workerRules{ColdFrom: 0.33, WarmAfterUs: 8_600_000, FallMultiple: 4, FallUs: 1_000_000, DrainGraceUs: 500_000},
		Domain: domainSettings{TellsStart: true, ProgressUs: 1_000_000, QueueOrder: "fifo", ReportX0: "free slots"},
	}
	const quota = 1000 // a second; never reached by one dispatcher here
	for i := range s.Projects {
		s.Projects[i].PerSecond = quota
	}
	return json.Marshal(s)
}

// daemon is a running dispatcher-serve.
type daemon struct {
	Process
	Ready time.Duration // from its start until it answered that it takes clients

	command *exec.Cmd
	ended   chan struct{}
	log     daemonLog
}

// daemonLog keeps what the daemon writes.
type daemonLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *daemonLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *daemonLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	readyLimit = 30 * time.Second
	readyStep  = 2 * time.Millisecond
	endLimit   = 10 * time.Second

	daemonPeers    = 300 // dispatchers that the daemon is told there are
	daemonTeams    = 150
	daemonMemoryMB = 128 // the target's
	daemonSockets  = 4096
)

// startDaemon starts the program in dir with discovery at addr and waits until
// it takes clients.
func startDaemon(program, dir, discovery string) (*daemon, error) {
	words, err := settingsOf(daemonPeers, daemonTeams)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(daemonConfig{Name: "slopes", Listen: "127.0.0.1:0", Discovery: discovery, Seed: "0000000000000001",
		AdminAddr: "127.0.0.1:0", Limits: processLimits{MemoryMB: daemonMemoryMB, Sockets: daemonSockets}, Settings: words})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	d := &daemon{ended: make(chan struct{})}
	d.command = exec.Command(program, "--config", path)
	d.command.Env = []string{"TMPDIR=" + dir}
	d.command.Stdout, d.command.Stderr = &d.log, &d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	began := time.Now()
	if err := d.command.Start(); err != nil {
		return nil, fmt.Errorf("the daemon: %w", err)
	}
	d.PID = d.command.Process.Pid
	go func() {
		d.command.Wait()
		close(d.ended)
	}()
	if err := d.waitReady(began); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

var errNotReady = errors.New("the daemon is not ready in time")

// waitReady asks for the daemon's health until it takes clients.
func (d *daemon) waitReady(began time.Time) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; ; time.Sleep(readyStep) {
		select {
		case <-d.ended:
			return fmt.Errorf("the daemon has ended: %s", strings.TrimSpace(d.log.String()))
		default:
		}
		if time.Since(began) > readyLimit {
			return fmt.Errorf("%w: %s", errNotReady, strings.TrimSpace(d.log.String()))
		}
		addr := d.address()
		if addr == "" {
			continue
		}
		answer, err := client.Get("http://" + addr + "/healthz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			d.Ready = time.Since(began)
			return nil
		}
	}
}

// address is where the daemon listens, by its log; empty: it does not yet.
func (d *daemon) address() string {
	_, rest, ok := strings.Cut(d.log.String(), "listening on ")
	if !ok {
		return ""
	}
	end := strings.IndexAny(rest, "\" \n")
	if end < 0 {
		return ""
	}
	return rest[:end]
}

// close ends the daemon as planned, or at once if that takes too long.
func (d *daemon) close() {
	d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(endLimit):
		d.command.Process.Kill()
		<-d.ended
	}
}
