package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns a whole rehearsal's surroundings: books, discovery, workers,
// and the daemon between them as a process of its own. It must never start a
// daemon that could know a worker other than its own, nor leave a process behind.

// ClassConfig is a class as the daemon is told of it.
type ClassConfig struct {
	Name      string
	Retryable bool
	Timeout      time.Duration // the longest that a client of it waits
}

// FleetConfig says what surroundings to start.
type FleetConfig struct {
	Daemon  string // the program
	Dir     string // where its files may lie; it must exist
	Classes []ClassConfig
	Workers int // default 6; one in three is small and slow, as at the site
	Cores   float64
	Seed    uint64
	Faktory bool // start the Faktory front too
	Descriptors int  // descriptors that the daemon is told it has; default 4096
	Noise   float64

	Operator string // the daemon's operator file; empty: none
}

// Fleet is what runs.
type Fleet struct {
	FleetConfig
	Ledger     Ledger
	Gate      Gate
	Discovery *Discovery
	Workers   []*Worker
	Addr      string // of the platform's front
	FaktoryAddr    string // of the Faktory front; empty: off
	Password  string // of the Faktory front: no worker but ours can log in
	Log       OutputBuffer

	secret []byte
	daemon *exec.Cmd
	ended  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// OutputBuffer is what the daemon wrote, as much of it as fits.
type OutputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

const maxOutputBytes = 1 << 20

func (l *OutputBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < maxOutputBytes {
		l.text.Write(p)
	}
	return len(p), nil
}

func (l *OutputBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	startTimeout = 20 * time.Second
	verifyInterval   = 2 * time.Second // the proof is renewed so often
)

// Kinds of workers, by the site's figures: cores and speed.
var workerKinds = []struct {
	name  string
	cores float64
	speed float64
}{{"standard", 3, 1}, {"standard", 3, 0.9}, {"small", 2, 0.6}}

var sites = []string{"zarqa-east", "russeifa", "hashemiya"}

// StartFleet starts everything and proves the workers. What it returns must be closed.
func StartFleet(c FleetConfig) (f *Fleet, err error) {
	if c.Workers == 0 {
		c.Workers = 6
	}
	if c.Descriptors == 0 {
		c.Descriptors = 4096
	}
	f = &Fleet{FleetConfig: c, secret: make([]byte, 32), ended: make(chan struct{})}
	rand.Read(f.secret)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	started := f
	defer func() {
		if err != nil {
			started.Close()
		}
	}()
	if f.Discovery, err = StartDiscovery(f.Gate.Close); err != nil {
		return nil, err
	}
	for range c.Workers {
		if _, err = f.Add(0); err != nil {
			return nil, err
		}
	}
	if err = f.VerifyWorkers(); err != nil {
		return nil, err
	}
	if err = f.startDaemon(); err != nil {
		return nil, err
	}
	go f.keepVerified()
	return f, nil
}

// Add starts one more worker and lists it; cold, if it is told to start at a
// share of its speed. The proof has to be made anew.
func (f *Fleet) Add(cold float64) (*Worker, error) {
	n := len(f.Workers)
	k := workerKinds[n%len(workerKinds)]
	cores := k.cores
	if f.Cores > 0 {
		cores = f.Cores
	}
	w, err := StartWorker(WorkerConfig{Name: fmt.Sprintf("s-%04d", n+1), Site: sites[n/len(workerKinds)%len(sites)], Class: k.name, Cores: cores,
		Speed: k.speed, Noise: f.Noise, WarmupShare: cold, Warmup: 6 * time.Second, Seed: f.Seed + uint64(n), SendsReports: true}, &f.Ledger, f.secret)
	if err != nil {
		return nil, err
	}
	f.Workers = append(f.Workers, w)
	h := Host{Host: w.Name, Dial: w.Addr, Site: w.Site, Class: w.Class, Block: n / 4, Health: "ready"}
	if cold > 0 {
		h.BornMs = w.Started.UnixMilli()
	}
	f.Discovery.Set(h)
	return w, nil
}

// VerifyWorkers makes the proof for the list as it stands.
func (f *Fleet) VerifyWorkers() error { return f.Gate.Verify(f.ctx, f.Discovery.List(), f.secret) }

// keepVerified proves anew, at once after a change of the list and now and then.
func (f *Fleet) keepVerified() {
	again := time.NewTicker(verifyInterval)
	defer again.Stop()
	for {
		f.Discovery.mu.Lock()
		told := f.Discovery.changed
		f.Discovery.mu.Unlock()
		if f.VerifyWorkers() != nil {
			return // the gate tells why
		}
		f.Discovery.mu.Lock()
		same := told == f.Discovery.changed
		f.Discovery.mu.Unlock()
		if !same { // it changed meanwhile
			f.Gate.Close()
			continue
		}
		select {
		case <-f.ctx.Done():
			return
		case <-f.ended:
			f.Gate.CloseForGood(errors.New("the daemon has ended"))
			return
		case <-told:
			f.Gate.Close()
		case <-again.C:
		}
	}
}

// config words the daemon's configuration file.
func (f *Fleet) config(listen string) ([]byte, error) {
	type object = map[string]any
	var classes []object
	for _, c := range f.Classes {
		repeat, worth, late, aim := "fragile", 5.0, 0.5, 200_000
		if c.Retryable {
			repeat, worth, late, aim = "retryable", 3.0, 0.25, 250_000
		}
		classes = append(classes, object{"name": c.Name, "repeat": repeat, "worth": worth, "late_worth": late, "slo_us": aim,
			"aim_stretch": 2.0, "deadline_us": c.Timeout.Microseconds()})
	}
	return json.Marshal(object{
		"name": "rehearsal", "listen": listen, "discovery": f.Discovery.Addr, "seed": fmt.Sprintf("%016x", f.Seed),
		"limits": object{"memory_mb": 192, "sockets": f.Descriptors}, "admin_addr": "127.0.0.1:0",
		"settings": object{"areas": sites, "kinds": []string{"standard", "small"}, "my_zone": 0, "peers_total": 1, "tick_us": 2000,
			"worth_by": "work", "classes": classes,
			"limits": object{"cancel": true, "connect_timeout_us": 250_000, "conn_idle_us": 10_000_000, "max_attempts": 3,
				"max_retry_after_us": 2_000_000, "second_copies": true, "probing": false},
			"rules":     object{"cold_from": 0.33, "warm_after_us": 8_600_000, "fall_multiple": 4, "fall_us": 1_000_000, "drain_grace_us": 500_000},
			"domain":    object{"tells_start": true, "progress_us": 1_000_000, "queue_order": "fifo", "report_x0": "free slots", "report_x1": "free memory"},
			"reporting": object{"via": "answers", "fields": []string{"eps", "queue", "x0", "x1"}}},
	})
}

// startDaemon starts the program on a listener that is ours: what answers there
// is our child, or nobody.
func (f *Fleet) startDaemon() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	f.Addr = ln.Addr().String()
	text, err := f.config(f.Addr)
	if err != nil {
		return err
	}
	path := filepath.Join(f.Dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer file.Close()
	args := []string{"--config", path}
	if f.Faktory {
		var raw [16]byte
		rand.Read(raw[:])
		f.Password = hex.EncodeToString(raw[:])
		second := filepath.Join(f.Dir, "faktory.toml")
		if err := os.WriteFile(second, fmt.Appendf(nil, "listen = \"127.0.0.1:0\"\npassword = %q\n", f.Password), 0o600); err != nil {
			return err
		}
		args = append(args, "--faktory", second)
	}
	if f.Operator != "" {
		args = append(args, "--operator", f.Operator)
	}
	f.daemon = exec.Command(f.FleetConfig.Daemon, args...)
	// Nothing of the environment is passed on: it might name workers that are not ours.
	f.daemon.Env = []string{"BALANCER_FD=3", "TMPDIR=" + f.Dir}
	f.daemon.ExtraFiles = []*os.File{file}
	f.daemon.Stdout, f.daemon.Stderr = &f.Log, &f.Log
	f.daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.daemon.Start(); err != nil {
		f.daemon = nil
		return fmt.Errorf("the daemon: %w", err)
	}
	go func() {
		f.daemon.Wait()
		close(f.ended)
	}()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		select {
		case <-f.ended:
			return fmt.Errorf("the daemon has ended: %s", strings.TrimSpace(f.Log.String()))
		default:
		}
		if answer, err := client.Get("http://" + f.Addr + "/healthz"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK && (!f.Faktory || f.findFaktoryAddr()) {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("the daemon is not ready after %v", startTimeout)
		}
	}
}

// Door is the address of the daemon's operators' door.
func (f *Fleet) Door() string {
	_, rest, _ := strings.Cut(f.Log.String(), "operators' door at ")
	addr, _, _ := strings.Cut(rest, "\"")
	return addr
}

// CPU is the processor time that the daemon has used so far.
func (f *Fleet) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // the system's clock ticks, 100 a second
}

// findFaktoryAddr finds the Faktory front's address in the daemon's log.
func (f *Fleet) findFaktoryAddr() bool {
	_, rest, ok := strings.Cut(f.Log.String(), "faktory: listening on ")
	if !ok {
		return false
	}
	if n := strings.IndexAny(rest, "\" \n"); n >= 0 {
		f.FaktoryAddr = rest[:n]
		return true
	}
	return false
}

// PID is the daemon's.
func (f *Fleet) PID() int { return f.daemon.Process.Pid }

// Close ends everything: the daemon as a planned end, then the rest.
func (f *Fleet) Close() {
	f.Gate.Close()
	if f.daemon != nil {
		f.daemon.Process.Signal(syscall.SIGTERM)
		select {
		case <-f.ended:
		case <-time.After(10 * time.Second):
			f.daemon.Process.Kill()
			<-f.ended
		}
	}
	f.cancel()
	for _, w := range f.Workers {
		w.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}
