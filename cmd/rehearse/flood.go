package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/hostileload"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns flood: known clients' requests beside hostile ones, with
// admission on and off in one run. It judges nothing but the rules; what is
// good enough is for its reader.

type floodCmd struct {
	Operator string        `default:"deploy/operator.toml" help:"The daemon's operator file, whose known prefixes must hold 127.9.0.0/24."`
	Hostile  int           `default:"5000" help:"Hostile clients at a time."`
	Sources  int           `default:"250" help:"Addresses that they come from."`
	Sockets  int           `default:"1024" help:"Descriptors that the daemon has."`
	Clients  int           `default:"20" help:"Addresses of known clients."`
	Rate     float64       `default:"80" help:"Their requests a second."`
	For      time.Duration `default:"15s" help:"How long each part takes."`
	Seed     uint64        `default:"1"`
	Alone    bool          `help:"Also without any hostile client."`
	Starve   bool          `help:"Instead: twice the rate, without hostile clients, whole and with no descriptor left by the system in the middle third."`
	Daemon   string        `help:"The daemon's program; not given: dispatcher beside this one."`
	JSON     bool          `name:"json" help:"Print as JSON."`
}

// part is one part of the run.
type part struct {
	Name     string             `json:"name"`
	Sent     int                `json:"sent"`
	Served   int                `json:"served"`
	Answered int                `json:"answered"`
	Wanted   int                `json:"within_wanted"`
	P50Ms    float64            `json:"p50_ms"`
	P99Ms    float64            `json:"p99_ms"`
	MaxMs    float64            `json:"max_ms"`
	CPUms    float64            `json:"daemon_cpu_ms_per_s"`
	Hostile  hostileload.Counts `json:"hostile"`
	Kept     bool               `json:"rules_kept"`
	Verdict  string             `json:"verdict"`
	Door     json.RawMessage    `json:"connections,omitempty"`

	Refusals, Failures map[string]int
	seconds            []*replay.Second
	lost               int
}

func (p *part) share(n int) float64 { return 100 * float64(n) / float64(max(p.Sent, 1)) }

// knownLoad writes a recording of evenly random arrivals: three status-checks of
// 30 ms, then a renewal of 40 ms.
func knownLoad(w io.Writer, c *floodCmd) error {
	out, err := recording.NewWriter(w, &recordingpb.Header{Version: recording.Version, Classes: []*recordingpb.Class{
		{Name: "status-check", Retryable: true}, {Name: "renewal"}}})
	if err != nil {
		return err
	}
	n := int(c.Rate * c.For.Seconds())
	for i := range n {
		e := recording.Entry{Arrival: time.Second + time.Duration(float64(i)/c.Rate*float64(time.Second)), Key: uint64(i%997 + 1), Timeout: 5 * time.Second,
			Duration: 30 * time.Millisecond, Effort: 30 * time.Millisecond, Slots: 1}
		if i%4 == 3 {
			e.Class, e.Timeout, e.Duration, e.Effort = 1, 8*time.Second, 40*time.Millisecond, 40*time.Millisecond
		}
		if err := out.Add(&e); err != nil {
			return err
		}
	}
	return out.Close()
}

// hold holds one part.
func (c *floodCmd) hold(name, operator string, clients int, during func(*standin.Fleet)) (p part, err error) {
	p.Name = name
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return p, err
	}
	dir, err := os.MkdirTemp("", "hollyyoke-flood")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	var file bytes.Buffer
	if err := knownLoad(&file, c); err != nil {
		return p, err
	}
	r, err := recording.NewReader(&file)
	if err != nil {
		return p, err
	}
	defer r.Close()
	if operator != "" {
		if operator, err = filepath.Abs(operator); err != nil {
			return p, err
		}
	}
	f, err := standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: dir, Workers: 9, Seed: c.Seed, Descriptors: c.Sockets, Operator: operator,
		Classes: []standin.ClassConfig{{Name: "status-check", Retryable: true, Timeout: 5 * time.Second}, {Name: "renewal", Timeout: 8 * time.Second}}})
	if err != nil {
		return p, err
	}
	defer f.Close()
	from := []netip.Addr{netip.MustParseAddr("127.9.0.1")}
	for len(from) < c.Clients {
		from = append(from, from[len(from)-1].Next())
	}
	flood := make(chan hostileload.Counts, 1)
	if clients > 0 {
		go func() {
			n, _ := hostileload.Run(context.Background(), hostileload.Config{Target: f.Addr, Seed: c.Seed, Clients: clients, Sources: c.Sources, Duration: c.For + 2*time.Second})
			flood <- n
		}()
	} else {
		flood <- hostileload.Counts{}
	}
	if during != nil {
		go during(f)
	}
	began, cpu := time.Now(), f.CPU()
	result, err := replay.Run(context.Background(), r, replay.Options{Target: f.Addr, Seed: c.Seed, Verified: f.Gate.IsOpen, LocalAddresses: from,
		LatencyObjectives: map[string]time.Duration{"status-check": 250 * time.Millisecond, "renewal": 200 * time.Millisecond},
		OnSend: func(id, class string, retryable bool, path string, x *recording.Entry) {
			f.Ledger.Announce(standin.Job{ID: id, Class: class, Retryable: retryable, Path: path, ServiceTime: x.Duration, Slots: x.Slots})
		}})
	if err != nil {
		return p, err
	}
	p.CPUms = float64((f.CPU() - cpu).Milliseconds()) / time.Since(began).Seconds()
	if operator != "" {
		if answer, err := http.Get("http://" + f.Door() + "/control/connections"); err == nil {
			p.Door, _ = io.ReadAll(io.LimitReader(answer.Body, 64<<10))
			answer.Body.Close()
		}
	}
	p.Hostile = <-flood
	rep := report.Report{Result: result}
	rep.Evaluate(&f.Ledger)
	p.Kept, p.Verdict = rep.DuplicatedJobs+rep.NeverExecuted == 0 && len(rep.Findings.Unexpected) == 0, rep.Conclusion
	p.Refusals, p.Failures, p.seconds = result.Rejections, result.Failures, result.Seconds
	count := func(of func(*replay.Tally) int) int { return result.Sum(of) }
	p.Sent = count(func(t *replay.Tally) int { return t.Sent + t.Unsent })
	p.Served = count(func(t *replay.Tally) int { return t.Served })
	p.Answered = count(func(t *replay.Tally) int { return t.Served + t.Rejected + t.Failed })
	p.lost = count(func(t *replay.Tally) int { return t.Lost + t.DuplicateAnswers })
	p.Wanted = count(func(t *replay.Tally) int { return t.WithinObjective })
	s := result.Classes["status-check"]
	p.P50Ms, p.P99Ms, p.MaxMs = float64(s.Intended.P50)/1000, float64(s.Intended.P99)/1000, float64(s.Intended.Max)/1000
	return p, nil
}

// starve takes the system's descriptors away for the middle third, and tells how
// much processor time the daemon used in it.
func (c *floodCmd) starve(spent *time.Duration, away bool) func(f *standin.Fleet) {
	return func(f *standin.Fleet) {
		time.Sleep(time.Second + c.For/3)
		var limit unix.Rlimit
		if unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, nil, &limit) != nil {
			return
		}
		before := f.CPU()
		if away {
			unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 16, Max: limit.Max}, nil)
			defer unix.Prlimit(f.PID(), unix.RLIMIT_NOFILE, &limit, nil)
		}
		time.Sleep(c.For / 3)
		*spent = f.CPU() - before
	}
}

func (c *floodCmd) Run(e *env) error {
	debug.SetMemoryLimit(math.MaxInt64)
	descriptors()
	type plan struct {
		name, operator string
		clients        int
		during         func(*standin.Fleet)
	}
	plans := []plan{{"admission on", c.Operator, c.Hostile, nil}, {"admission off", "", c.Hostile, nil}}
	if c.Alone {
		plans = append([]plan{{"alone", c.Operator, 0, nil}}, plans...)
	}
	var whole, starved time.Duration
	if c.Starve {
		c.Rate *= 2
		plans = []plan{{"whole", c.Operator, c.Hostile / 25, c.starve(&whole, false)}, {"starved", c.Operator, c.Hostile / 25, c.starve(&starved, true)}}
	}
	var parts []part
	for _, x := range plans {
		p, err := c.hold(x.name, x.operator, x.clients, x.during)
		if err != nil {
			return err
		}
		parts = append(parts, p)
	}
	if c.JSON {
		return writeJSON(e.out, parts)
	}
	fmt.Fprintf(e.out, "%-14s %6s %9s %9s %9s %8s %8s %8s %9s %10s %10s\n", "known clients", "sent", "answered", "served", "wanted", "p50 ms", "p99 ms", "max ms",
		"CPU ms/s", "hostile", "refused")
	kept := true
	for _, p := range parts {
		fmt.Fprintf(e.out, "%-14s %6d %8.2f%% %8.2f%% %8.2f%% %8.1f %8.1f %8.1f %9.0f %10d %10d\n", p.Name, p.Sent, p.share(p.Answered), p.share(p.Served),
			p.share(p.Wanted), p.P50Ms, p.P99Ms, p.MaxMs, p.CPUms, p.Hostile.Attempted, p.Hostile.ClosedByPeer+p.Hostile.Failed)
		list := func(what string, words map[string]int) {
			for why, n := range words {
				fmt.Fprintf(e.out, "  %s: %d  %s\n", what, n, why)
			}
		}
		list("refused", p.Refusals)
		list("failed or lost", p.Failures)
		kept = kept && p.Kept
		if !p.Kept {
			fmt.Fprintln(e.out, "  "+p.Verdict)
		}
	}
	if c.Starve {
		fmt.Fprintf(e.out, "daemon's processor time in the middle third: %v whole, %v starved\n", whole, starved)
		end := int((time.Second + c.For*2/3) / time.Second)
		for i, s := range parts[1].seconds {
			if i >= end-1 && i <= end+2 {
				fmt.Fprintf(e.out, "second %d (descriptors are back in second %d): sent %d, served %d, p99 %.1f ms\n", i, end, s.Replayed, s.Served, float64(s.P99Us)/1000)
			}
		}
	}
	if !kept {
		return broken{"a rule was broken"}
	}
	return nil
}
