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

// runCmd replays a recording to a daemon that it starts with stand-ins. It is the only command that replays requests
// that are not idempotent, and only while the stand-ins are proven to be the only workers. No flag changes that.
type runCmd struct {
	Recording string  `required:"" help:"The recording to replay."`
	Seed      uint64  `default:"1" help:"Seed of the ids, the service times and the daemon."`
	Speed     float64 `default:"1" help:"Factor on the recording's speed."`
	Report    string  `help:"Directory for report.json and report.html."`
	FrontEnd  string  `name:"front" enum:"platform,faktory" default:"platform" help:"The front end to send requests to: platform or faktory."`
	Workers   int     `default:"0" help:"Number of stand-in workers; with 0 as many as the recording's work needs."`
	Cores     float64 `default:"0" help:"Slots of each worker; with 0, every third worker has 2 and the others have 3."`
	Noise     float64 `default:"0.1" help:"Coefficient of variation of service times."`
	Daemon    string  `help:"The daemon's program; by default dispatcher in the directory of this program."`
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
	targetUtilization = 0.6  // share of the workers' capacity that the busiest window may use
	meanWorkerSpeed   = 2.3  // slots times speed of a worker, mean over the kinds of stand-ins
	meanSlotSpeed     = 0.83 // speed of a slot, mean over the kinds of stand-ins
	minWorkers        = 3
	maxWorkers        = 80
	maxAnnouncedBody  = 60 << 10 // largest body size that is announced to the ledger, in bytes
)

// workerSize is a number of workers and the slots of each. With 0 slots, each worker has the slots of its kind.
type workerSize struct {
	count int
	slots float64
}

// workerSize returns the size that the flags set, or one that is enough for the load.
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

// rehearse starts the daemon and its stand-ins, replays the recording and returns the evaluated report. beforeSending,
// which may be nil, is called before the first request is sent.
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
		DaemonPath:       daemon,
		Dir:              dir,
		Classes:          load.classes,
		Workers:          size.count,
		WorkerSlots:      size.slots,
		Seed:             c.Seed,
		Faktory:          c.FrontEnd == frontEndFaktory,
		RunTimeVariation: c.Noise,
	})
}

// replayOptions returns the options of the replay to the daemon of a fleet. Every job is announced to the fleet's
// ledger.
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
		if options.Faktory { // the body is sent as job arguments, which the tests of Faktory check
			job.Path = ""
		}
		fleet.Ledger.Announce(job)
	}
	return options
}
