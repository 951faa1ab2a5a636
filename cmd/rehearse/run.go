package main

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"time"

	"github.com/schollz/progressbar/v3"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// runCmd replays a recording to a daemon that it starts with stand-ins. It alone sends requests that are not
// idempotent, and only while the stand-ins are proven to be the only workers; no flag changes that.
type runCmd struct {
	Recording string  `required:"" help:"The recording."`
	Seed      uint64  `default:"1" help:"Of ids, service times and the daemon."`
	Speed     float64 `default:"1" help:"Times as fast."`
	Report    string  `help:"Directory for report.json and report.html."`
	Front     string  `enum:"platform,faktory" default:"platform" help:"The front that is sent to: platform or faktory."`
	Workers   int     `default:"0" help:"Stand-in workers; 0: as many as the recording's work needs."`
	Cores     float64 `default:"0" help:"Slots of each worker; 0: 3, and 2 of every third."`
	Noise     float64 `default:"0.1" help:"Coefficient of variation of service times."`
	Daemon    string  `help:"The daemon's program; not given: dispatcher beside this one."`
	JSON      bool    `name:"json" help:"Print the report as JSON."`
}

// recordingSize is the load of a recording.
type recordingSize struct {
	entries  int
	workRate float64 // slots times seconds of work per second, in the busiest window
	classes  []standin.ClassConfig
}

// measureRecording reads a recording to its end and returns its load at a speed.
func measureRecording(path string, speed float64) (s recordingSize, err error) {
	reader, done, err := openRecording(path)
	if err != nil {
		return s, err
	}
	defer done()
	for _, c := range reader.Header.Classes {
		s.classes = append(s.classes, standin.ClassConfig{Name: c.Name, Retryable: c.Retryable, Timeout: time.Second})
	}
	window := -1
	windowWork := 0.0
	err = reader.ForEach(func(e *recording.Entry) error {
		s.entries++
		c := &s.classes[e.Class]
		c.Timeout = max(c.Timeout, e.Timeout)
		if number := int(e.Arrival.Seconds() / speed / loadWindowS); number != window {
			window = number
			windowWork = 0
		}
		windowWork += e.Slots * e.Duration.Seconds()
		s.workRate = max(s.workRate, windowWork/loadWindowS)
		return nil
	})
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if s.entries == 0 {
		return s, fmt.Errorf("%s: no entry to replay", path)
	}
	return s, nil
}

const (
	loadWindowS       = 10   // length of the windows of which the busiest counts
	targetUtilization = 0.6  // of the workers' capacity, in the busiest window
	meanWorkerSpeed   = 2.3  // slots times speed of a worker, mean of the stand-ins' mixture
	meanSlotSpeed     = 0.83 // speed of a slot, mean of that mixture
	minWorkers        = 3
	maxWorkers        = 80
	maxAnnouncedBody  = 60 << 10 // bytes
)

func (c *runCmd) Run(e *environment) error {
	rep, err := c.rehearse(e, nil)
	if err != nil {
		return err
	}
	return finishReport(e, rep, c.JSON, c.Report)
}

// workerCount returns the number of workers and the slots of each: as given, or enough for the load.
func (c *runCmd) workerCount(workRate float64) (workers int, slots float64) {
	if c.Workers != 0 {
		return c.Workers, c.Cores
	}
	workers = min(max(int(math.Ceil(workRate/targetUtilization/meanWorkerSpeed)), minWorkers), maxWorkers)
	slots = c.Cores
	if workers == maxWorkers && slots == 0 {
		slots = math.Ceil(workRate / targetUtilization / meanSlotSpeed / maxWorkers)
	}
	return workers, slots
}

// rehearse runs the daemon and replays the recording. beforeSending, which may be nil, is called before the first
// request.
func (c *runCmd) rehearse(e *environment, beforeSending func(*standin.Fleet)) (*report.Report, error) {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	size, err := measureRecording(c.Recording, c.Speed)
	if err != nil {
		return nil, err
	}
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hollyyoke-run")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	workers, cores := c.workerCount(size.workRate)
	fleet, err := standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: dir, Classes: size.classes, Workers: workers, Cores: cores,
		Seed: c.Seed, Faktory: c.Front == "faktory", Noise: c.Noise})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	e.log.Info("daemon and stand-ins are up", "front", c.Front, "workers", workers, "entries", size.entries)
	if beforeSending != nil {
		beforeSending(fleet)
	}
	options := replay.Options{Target: fleet.Addr, Seed: c.Seed, Speed: c.Speed, Verified: fleet.Gate.IsOpen, OnProgress: progressBar(e, size.entries)}
	if c.Front == "faktory" {
		options.Target = fleet.FaktoryAddr
		options.Faktory = true
		options.Password = fleet.Password
	}
	options.OnSend = func(id, class string, retryable bool, path string, x *recording.Entry) {
		j := standin.Job{ID: id, Class: class, Retryable: retryable, Path: path, BodyBytes: min(x.BodyBytes, maxAnnouncedBody), ServiceTime: x.Duration, Slots: x.Slots}
		if options.Faktory { // the body becomes arguments, which the Faktory tests check
			j.Path = ""
		}
		fleet.Ledger.Announce(j)
	}
	rep, err := replayRecording(e, c.Recording, options)
	if err != nil {
		return nil, err
	}
	rep.FrontEnd = c.Front
	rep.Workers = len(fleet.Workers)
	rep.DaemonRSS = childprocess.ResidentKiB(fleet.PID())
	if reason := fleet.Gate.Failure(); reason != nil {
		rep.WithheldReason = reason.Error()
	}
	rep.Evaluate(&fleet.Ledger)
	return rep, nil
}

// progressBar returns a function that shows the progress of a run; nil if standard error is no terminal.
func progressBar(e *environment, total int) func(int) {
	if !e.errIsTerminal {
		return nil
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(e.errOut), progressbar.OptionSetDescription("replay"),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	return func(n int) { bar.Set(n) }
}
