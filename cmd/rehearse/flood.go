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

// The known clients' load, by class.
const (
	statusCheckObjective = 250 * time.Millisecond
	statusCheckDeadline  = 5 * time.Second
	statusCheckWork      = 30 * time.Millisecond
	renewalObjective     = 200 * time.Millisecond
	renewalDeadline      = 8 * time.Second
	renewalWork          = 40 * time.Millisecond
)

const (
	firstKnownClient   = "127.9.0.1"
	floodWorkers       = 9
	floodLead          = time.Second // before the first request of known clients
	exhaustedLimit     = 16          // descriptors left while they are exhausted
	maxConnectionsJSON = 64 << 10    // bytes of the admin API's answer
)

// floodCmd sends requests of known clients together with hostile load, with connection admission on and off. It fails only
// if a rule was violated; how good the service was is for the reader to judge.
type floodCmd struct {
	Operator           string        `default:"deploy/operator.toml" help:"The daemon's operator file, whose known prefixes must hold 127.9.0.0/24."`
	Hostile            int           `default:"5000" help:"Hostile clients at a time."`
	Sources            int           `default:"250" help:"Addresses that they come from."`
	Sockets            int           `default:"1024" help:"Descriptors that the daemon has."`
	Clients            int           `default:"20" help:"Addresses of known clients."`
	Rate               float64       `default:"80" help:"Their requests a second."`
	Duration           time.Duration `name:"for" default:"15s" help:"How long each part takes."`
	Seed               uint64        `default:"1"`
	Alone              bool          `help:"Also without any hostile client."`
	ExhaustDescriptors bool          `name:"starve" help:"Instead: twice the rate with few hostile clients, once with all descriptors and once with none left in the middle third."`
	Daemon             string        `help:"The daemon's program; not given: dispatcher beside this one."`
	JSON               bool          `name:"json" help:"Print as JSON."`
}

// floodResult is the result of one part of the run.
type floodResult struct {
	Name            string             `json:"name"`
	Sent            int                `json:"sent"`
	Served          int                `json:"served"`
	Answered        int                `json:"answered"`
	WithinObjective int                `json:"within_wanted"`
	P50Ms           float64            `json:"p50_ms"`
	P99Ms           float64            `json:"p99_ms"`
	MaxMs           float64            `json:"max_ms"`
	CPUMsPerS       float64            `json:"daemon_cpu_ms_per_s"`
	Hostile         hostileload.Counts `json:"hostile"`
	RulesHeld       bool               `json:"rules_kept"`
	Summary         string             `json:"verdict"`
	Connections     json.RawMessage    `json:"connections,omitempty"`

	Rejections map[string]int `json:"Refusals"`
	Failures   map[string]int `json:"Failures"`
	seconds    []*replay.Second
	lost       int
}

// percent returns a count as a percentage of the requests sent.
func (r *floodResult) percent(count int) float64 {
	return 100 * float64(count) / float64(max(r.Sent, 1))
}

// writeKnownLoad writes a recording of requests at even distances: three status checks, then a renewal.
func writeKnownLoad(w io.Writer, c *floodCmd) error {
	out, err := recording.NewWriter(w, &recordingpb.Header{Version: recording.Version, Classes: []*recordingpb.Class{
		{Name: "status-check", Retryable: true}, {Name: "renewal"}}})
	if err != nil {
		return err
	}
	count := int(c.Rate * c.Duration.Seconds())
	for i := range count {
		entry := recording.Entry{Arrival: floodLead + time.Duration(float64(i)/c.Rate*float64(time.Second)), Key: uint64(i%997 + 1), Timeout: statusCheckDeadline,
			Duration: statusCheckWork, Effort: statusCheckWork, Slots: 1}
		if i%4 == 3 {
			entry.Class = 1
			entry.Timeout = renewalDeadline
			entry.Duration = renewalWork
			entry.Effort = renewalWork
		}
		if err := out.Add(&entry); err != nil {
			return err
		}
	}
	return out.Close()
}

// floodPart is one part of the run.
type floodPart struct {
	name     string
	operator string               // operator file; empty: admission is off
	hostile  int                  // hostile clients
	during   func(*standin.Fleet) // runs beside the load; may be nil
}

// runPart runs one part.
func (c *floodCmd) runPart(part floodPart) (floodResult, error) {
	dir, err := os.MkdirTemp("", "hollyyoke-flood")
	if err != nil {
		return floodResult{}, err
	}
	defer os.RemoveAll(dir)
	var file bytes.Buffer
	if err := writeKnownLoad(&file, c); err != nil {
		return floodResult{}, err
	}
	reader, err := recording.NewReader(&file)
	if err != nil {
		return floodResult{}, err
	}
	defer reader.Close()
	fleet, err := c.startFleet(dir, part.operator)
	if err != nil {
		return floodResult{}, err
	}
	defer fleet.Close()
	hostile := c.startHostile(fleet.Addr, part.hostile)
	if part.during != nil {
		go part.during(fleet)
	}
	startedAt := time.Now()
	cpuBefore := fleet.CPU()
	replayed, err := c.replayKnown(reader, fleet)
	if err != nil {
		return floodResult{}, err
	}
	result := floodResult{Name: part.name}
	result.CPUMsPerS = float64((fleet.CPU() - cpuBefore).Milliseconds()) / time.Since(startedAt).Seconds()
	if part.operator != "" {
		result.Connections = connectionsJSON(fleet)
	}
	result.Hostile = <-hostile
	result.evaluate(replayed, fleet)
	return result, nil
}

// startFleet starts the daemon and its stand-ins.
func (c *floodCmd) startFleet(dir, operator string) (*standin.Fleet, error) {
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return nil, err
	}
	if operator != "" {
		operator, err = filepath.Abs(operator)
		if err != nil {
			return nil, err
		}
	}
	return standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: dir, Workers: floodWorkers, Seed: c.Seed, Descriptors: c.Sockets, Operator: operator,
		Classes: []standin.ClassConfig{{Name: "status-check", Retryable: true, Timeout: statusCheckDeadline}, {Name: "renewal", Timeout: renewalDeadline}}})
}

// startHostile starts the hostile clients and returns the channel that gets their counts.
func (c *floodCmd) startHostile(target string, clients int) <-chan hostileload.Counts {
	counts := make(chan hostileload.Counts, 1)
	if clients == 0 {
		counts <- hostileload.Counts{}
		return counts
	}
	go func() {
		got, _ := hostileload.Run(context.Background(), hostileload.Config{Target: target, Seed: c.Seed, Clients: clients, Sources: c.Sources, Duration: c.Duration + 2*time.Second})
		counts <- got
	}()
	return counts
}

// replayKnown sends the known clients' requests.
func (c *floodCmd) replayKnown(reader *recording.Reader, fleet *standin.Fleet) (*replay.Result, error) {
	addresses := []netip.Addr{netip.MustParseAddr(firstKnownClient)}
	for len(addresses) < c.Clients {
		addresses = append(addresses, addresses[len(addresses)-1].Next())
	}
	return replay.Run(context.Background(), reader, replay.Options{Target: fleet.Addr, Seed: c.Seed, Verified: fleet.Gate.IsOpen, LocalAddresses: addresses,
		LatencyObjectives: map[string]time.Duration{"status-check": statusCheckObjective, "renewal": renewalObjective},
		OnSend: func(id, class string, retryable bool, path string, x *recording.Entry) {
			fleet.Ledger.Announce(standin.Job{ID: id, Class: class, Retryable: retryable, Path: path, ServiceTime: x.Duration, Slots: x.Slots})
		}})
}

// connectionsJSON returns the admin API's view of the connections; nil if it does not answer.
func connectionsJSON(fleet *standin.Fleet) json.RawMessage {
	response, err := http.Get("http://" + fleet.AdminAddress() + "/control/connections")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxConnectionsJSON))
	return text
}

// evaluate sets the counts, latencies and conclusion.
func (r *floodResult) evaluate(replayed *replay.Result, fleet *standin.Fleet) {
	rep := report.Report{Result: replayed}
	rep.Evaluate(&fleet.Ledger)
	r.RulesHeld = rep.DuplicatedJobs+rep.NeverExecuted == 0 && len(rep.Findings.Unexpected) == 0
	r.Summary = rep.Conclusion
	r.Rejections = replayed.Rejections
	r.Failures = replayed.Failures
	r.seconds = replayed.Seconds
	r.Sent = replayed.Sum(func(t *replay.Tally) int { return t.Sent + t.Unsent })
	r.Served = replayed.Sum(func(t *replay.Tally) int { return t.Served })
	r.Answered = replayed.Sum(func(t *replay.Tally) int { return t.Served + t.Rejected + t.Failed })
	r.lost = replayed.Sum(func(t *replay.Tally) int { return t.Lost + t.DuplicateAnswers })
	r.WithinObjective = replayed.Sum(func(t *replay.Tally) int { return t.WithinObjective })
	statusChecks := replayed.Classes["status-check"]
	r.P50Ms = float64(statusChecks.Intended.P50) / 1000
	r.P99Ms = float64(statusChecks.Intended.P99) / 1000
	r.MaxMs = float64(statusChecks.Intended.Max) / 1000
}

// exhaustDescriptors returns a function that lowers the daemon's descriptor limit for the middle third, if exhaust is set,
// and stores the processor time that the daemon uses in that third.
func (c *floodCmd) exhaustDescriptors(spent *time.Duration, exhaust bool) func(fleet *standin.Fleet) {
	return func(fleet *standin.Fleet) {
		time.Sleep(floodLead + c.Duration/3)
		var limit unix.Rlimit
		if unix.Prlimit(fleet.PID(), unix.RLIMIT_NOFILE, nil, &limit) != nil {
			return
		}
		before := fleet.CPU()
		if exhaust {
			unix.Prlimit(fleet.PID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: exhaustedLimit, Max: limit.Max}, nil)
			defer unix.Prlimit(fleet.PID(), unix.RLIMIT_NOFILE, &limit, nil)
		}
		time.Sleep(c.Duration / 3)
		*spent = fleet.CPU() - before
	}
}

// Run runs all parts and fails if one violated a rule.
func (c *floodCmd) Run(e *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	parts := []floodPart{{name: "admission on", operator: c.Operator, hostile: c.Hostile}, {name: "admission off", hostile: c.Hostile}}
	if c.Alone {
		parts = append([]floodPart{{name: "alone", operator: c.Operator}}, parts...)
	}
	var cpuNormal, cpuExhausted time.Duration // in the middle third
	if c.ExhaustDescriptors {
		c.Rate *= 2
		parts = []floodPart{
			{name: "whole", operator: c.Operator, hostile: c.Hostile / 25, during: c.exhaustDescriptors(&cpuNormal, false)},
			{name: "starved", operator: c.Operator, hostile: c.Hostile / 25, during: c.exhaustDescriptors(&cpuExhausted, true)},
		}
	}
	var results []floodResult
	for _, part := range parts {
		result, err := c.runPart(part)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if c.JSON {
		return writeJSON(e.out, results)
	}
	writeFlood(e.out, results)
	if c.ExhaustDescriptors {
		fmt.Fprintf(e.out, "daemon's processor time in the middle third: %v normally, %v without descriptors\n", cpuNormal, cpuExhausted)
		c.writeRecovery(e.out, results[1].seconds)
	}
	for _, result := range results {
		if !result.RulesHeld {
			return violationError{"a rule was violated"}
		}
	}
	return nil
}

// writeFlood writes a table of the parts.
func writeFlood(out io.Writer, results []floodResult) {
	fmt.Fprintf(out, "%-14s %6s %9s %9s %9s %8s %8s %8s %9s %10s %10s\n", "known clients", "sent", "answered", "served", "in time", "p50 ms", "p99 ms", "max ms",
		"CPU ms/s", "hostile", "rejected")
	for _, result := range results {
		fmt.Fprintf(out, "%-14s %6d %8.2f%% %8.2f%% %8.2f%% %8.1f %8.1f %8.1f %9.0f %10d %10d\n", result.Name, result.Sent, result.percent(result.Answered),
			result.percent(result.Served), result.percent(result.WithinObjective), result.P50Ms, result.P99Ms, result.MaxMs, result.CPUMsPerS,
			result.Hostile.Attempted, result.Hostile.ClosedByPeer+result.Hostile.Failed)
		writeReasons(out, "rejected", result.Rejections)
		writeReasons(out, "failed or lost", result.Failures)
		if !result.RulesHeld {
			fmt.Fprintln(out, "  "+result.Summary)
		}
	}
}

// writeReasons writes how often each reason was given.
func writeReasons(out io.Writer, outcome string, counts map[string]int) {
	for reason, count := range counts {
		fmt.Fprintf(out, "  %s: %d  %s\n", outcome, count, reason)
	}
}

// writeRecovery writes the seconds around the end of the middle third, when the descriptors are back.
func (c *floodCmd) writeRecovery(out io.Writer, list []*replay.Second) {
	end := int((floodLead + c.Duration*2/3) / time.Second)
	for i, second := range list {
		if i >= end-1 && i <= end+2 {
			fmt.Fprintf(out, "second %d (descriptors are back in second %d): sent %d, served %d, p99 %.1f ms\n", i, end, second.Replayed, second.Served, float64(second.P99Us)/1000)
		}
	}
}
