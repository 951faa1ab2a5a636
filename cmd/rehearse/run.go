package main

import (
	"math"
	"os"
	"runtime/debug"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
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
	FrontEnd  string  `name:"front" enum:"platform,faktory" default:"platform" help:"The front end that is sent to: platform or faktory."`
	Workers   int     `default:"0" help:"Stand-in workers; 0: as many as the recording's work needs."`
	Cores     float64 `default:"0" help:"Slots of each worker; 0: 3, and 2 of every third."`
	Noise     float64 `default:"0.1" help:"Coefficient of variation of service times."`
	Daemon    string  `help:"The daemon's program; not given: dispatcher beside this one."`
	JSON      bool    `name:"json" help:"Print the report as JSON."`
}

// Run replays the recording and fails if a rule was violated.
func (c *runCmd) Run(env *environment) error {
	evaluated, err := c.rehearse(env, nil)
	if err != nil {
		return err
	}
	return finishReport(env, evaluated, c.JSON, c.Report)
}

const (
	targetUtilization = 0.6  // of the workers' capacity, in the busiest window
	meanWorkerSpeed   = 2.3  // slots times speed of a worker, mean of the stand-ins' mixture
	meanSlotSpeed     = 0.83 // speed of a slot, mean of that mixture
	minWorkers        = 3
	maxWorkers        = 80
	maxAnnouncedBody  = 60 << 10 // bytes
)

// workerSize is a number of workers and the slots of each; 0 slots: by the kind of the worker.
type workerSize struct {
	count int
	slots float64
}

// workerSize returns the workers as the flags give them, or enough for the load.
func (c *runCmd) workerSize(load recordingLoad) workerSize {
	if c.Workers != 0 {
		return workerSize{count: c.Workers, slots: c.Cores}
	}
	needed := int(math.Ceil(load.workRate / targetUtilization / meanWorkerSpeed))
	size := workerSize{count: min(max(needed, minWorkers), maxWorkers), slots: c.Cores}
	if size.count == maxWorkers && size.slots == 0 {
		size.slots = math.Ceil(load.workRate / targetUtilization / meanSlotSpeed / maxWorkers)
	}
	return size
}

// rehearse runs the daemon and replays the recording. beforeSending, which may be nil, is called before the first
// request.
func (c *runCmd) rehearse(env *environment, beforeSending func(*standin.Fleet)) (*report.Report, error) {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	load, err := measureRecording(c.Recording, c.Speed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hollyyoke-run")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	fleet, err := c.startFleet(dir, load)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	env.log.Info("daemon and stand-ins are up", "front", c.FrontEnd, "workers", len(fleet.Workers), "entries", load.entries)
	if beforeSending != nil {
		beforeSending(fleet)
	}
	evaluated, err := replayRecording(c.Recording, c.replayOptions(env, fleet, load))
	if err != nil {
		return nil, err
	}
	evaluated.FrontEnd = c.FrontEnd
	evaluated.Workers = len(fleet.Workers)
	evaluated.DaemonRSS = childprocess.ResidentKiB(fleet.PID())
	if reason := fleet.Gate.Failure(); reason != nil {
		evaluated.WithheldReason = reason.Error()
	}
	evaluated.Evaluate(&fleet.Ledger)
	return evaluated, nil
}

// startFleet starts the daemon, with its files in dir, and its stand-ins.
func (c *runCmd) startFleet(dir string, load recordingLoad) (*standin.Fleet, error) {
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return nil, err
	}
	size := c.workerSize(load)
	return standin.StartFleet(standin.FleetConfig{
		Daemon:  daemon,
		Dir:     dir,
		Classes: load.classes,
		Workers: size.count,
		Cores:   size.slots,
		Seed:    c.Seed,
		Faktory: c.FrontEnd == frontEndFaktory,
		Noise:   c.Noise,
	})
}

// replayOptions says how the recording is sent to the daemon of a fleet. Every job is announced to the ledger.
func (c *runCmd) replayOptions(env *environment, fleet *standin.Fleet, load recordingLoad) replay.Options {
	options := replay.Options{
		Target:     fleet.Addr,
		Seed:       c.Seed,
		Speed:      c.Speed,
		Verified:   fleet.Gate.IsOpen,
		OnProgress: progressBar(env, load.entries),
	}
	if c.FrontEnd == frontEndFaktory {
		options.Target = fleet.FaktoryAddr
		options.Faktory = true
		options.Password = fleet.Password
	}
	options.OnSend = func(sent replay.Job) {
		job := standin.Job{
			ID:          sent.ID,
			Class:       sent.Class,
			Retryable:   sent.Retryable,
			Path:        sent.Path,
			BodyBytes:   min(sent.Entry.BodyBytes, maxAnnouncedBody),
			ServiceTime: sent.Entry.Duration,
			Slots:       sent.Entry.Slots,
		}
		if options.Faktory { // the body becomes arguments, which the Faktory tests check
			job.Path = ""
		}
		fleet.Ledger.Announce(job)
	}
	return options
}
