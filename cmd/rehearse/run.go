package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns run and replay. A job that must not run twice is sent by run
// alone, and there only while the proof holds; no flag changes that.

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

// size is what a recording asks for.
type size struct {
	entries int
	work    float64 // slots times seconds in the busiest ten seconds, a second
	classes []standin.ClassConfig
}

func measure(path string, speed float64) (s size, err error) {
	r, done, err := openRecording(path)
	if err != nil {
		return s, err
	}
	defer done()
	for _, c := range r.Header.Classes {
		s.classes = append(s.classes, standin.ClassConfig{Name: c.Name, Retryable: c.Retryable, Timeout: time.Second})
	}
	const part = 10
	at, sum := -1, 0.0
	err = r.ForEach(func(e *recording.Entry) error {
		s.entries++
		c := &s.classes[e.Class]
		c.Timeout = max(c.Timeout, e.Timeout)
		if n := int(e.Arrival.Seconds() / speed / part); n != at {
			at, sum = n, 0
		}
		sum += e.Slots * e.Duration.Seconds()
		s.work = max(s.work, sum/part)
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

// daemonPath finds the daemon's program.
func daemonPath(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "dispatcher")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no daemon beside this program: build it, or name it by --daemon")
	}
	return path, nil
}

const (
	load        = 0.6 // of what the workers can do, in the busiest ten seconds
	meanSpeed   = 2.3 // slots times speed of the site's mixture, a worker
	mostWorkers = 80
)

func (c *runCmd) Run(e *env) error {
	rep, err := c.run(e, nil)
	if err != nil {
		return err
	}
	return finish(e, rep, c.JSON, c.Report)
}

// run holds the rehearsal; hook, which may be nil, is called before the first send.
func (c *runCmd) run(e *env, hook func(*standin.Fleet)) (*report.Report, error) {
	debug.SetMemoryLimit(math.MaxInt64)
	descriptors()
	size, err := measure(c.Recording, c.Speed)
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
	workers, cores := c.Workers, c.Cores
	if workers == 0 {
		workers = min(max(int(math.Ceil(size.work/load/meanSpeed)), 3), mostWorkers)
		if workers == mostWorkers && cores == 0 {
			cores = math.Ceil(size.work / load / 0.83 / mostWorkers)
		}
	}
	fleet, err := standin.StartFleet(standin.FleetConfig{Daemon: daemon, Dir: dir, Classes: size.classes, Workers: workers, Cores: cores,
		Seed: c.Seed, Faktory: c.Front == "faktory", Noise: c.Noise})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	e.log.Info("daemon and stand-ins are up", "front", c.Front, "workers", workers, "entries", size.entries)
	if hook != nil {
		hook(fleet)
	}
	o := replay.Options{Target: fleet.Addr, Seed: c.Seed, Speed: c.Speed, Verified: fleet.Gate.IsOpen, OnProgress: progress(e, size.entries)}
	if c.Front == "faktory" {
		o.Target, o.Faktory, o.Password = fleet.FaktoryAddr, true, fleet.Password
	}
	o.OnSend = func(id, class string, retryable bool, path string, x *recording.Entry) {
		j := standin.Job{ID: id, Class: class, Retryable: retryable, Path: path, BodyBytes: min(x.BodyBytes, 60<<10), ServiceTime: x.Duration, Slots: x.Slots}
		if o.Faktory { // the body becomes args, which is for its own tests to check
			j.Path = ""
		}
		fleet.Ledger.Announce(j)
	}
	rep, err := send(e, c.Recording, o)
	if err != nil {
		return nil, err
	}
	rep.FrontEnd, rep.Workers, rep.DaemonRSS = c.Front, len(fleet.Workers), rss(fleet.PID())
	if why := fleet.Gate.Failure(); why != nil {
		rep.WithheldReason = why.Error()
	}
	rep.Evaluate(&fleet.Ledger)
	return rep, nil
}

// send replays a recording and starts its report.
func send(e *env, path string, o replay.Options) (*report.Report, error) {
	r, done, err := openRecording(path)
	if err != nil {
		return nil, err
	}
	defer done()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := replay.Run(ctx, r, o)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			err = errors.New("stopped before its end")
		}
		return nil, err
	}
	return &report.Report{Recording: filepath.Base(path), Seed: o.Seed, Speed: o.Speed, Start: time.UnixMicro(r.Header.StartUnixUs).UTC(),
		Import: report.FromHeader(r.Header), Result: result}, nil
}

// finish writes the report and says whether it was kept.
func finish(e *env, rep *report.Report, asJSON bool, dir string) error {
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		if err := create(filepath.Join(dir, "report.json"), rep.WriteJSON); err != nil {
			return err
		}
		if err := create(filepath.Join(dir, "report.html"), rep.WriteHTML); err != nil {
			return err
		}
	}
	if asJSON {
		if err := rep.WriteJSON(e.out); err != nil {
			return err
		}
	} else {
		rep.WriteText(e.out)
	}
	if dir != "" {
		e.log.Info("report written", "json", filepath.Join(dir, "report.json"), "html", filepath.Join(dir, "report.html"))
	}
	if !rep.Passed {
		return broken{rep.Conclusion}
	}
	if n := rep.Sum(func(t *replay.Tally) int { return t.Unsent }); n > 0 {
		return fmt.Errorf("%d entries could not be sent", n)
	}
	return nil
}

// progress shows how far a replay is, where someone watches.
func progress(e *env, total int) func(int) {
	if !e.terminal {
		return nil
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(e.errs), progressbar.OptionSetDescription("replay"),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	return func(n int) { bar.Set(n) }
}

// descriptors raises the soft limit to the hard one.
func descriptors() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil && l.Cur < l.Max {
		l.Cur = l.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l) // where it fails, fewer connections can be had
	}
}

// rss is a process's resident memory in KB; 0: not known.
func rss(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	rest, _, _ = strings.Cut(rest, "kB")
	n, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
	return n
}

type replayCmd struct {
	Recording string  `help:"The recording."`
	To        string  `required:"" help:"The daemon, host:port on a loopback address."`
	Front     string  `default:"platform" help:"The front that it speaks: platform or faktory."`
	Password  string  `help:"Of the Faktory front."`
	Seed      uint64  `default:"0" help:"Of the ids; 0: new ones each time, as a daemon takes an id only once."`
	Speed     float64 `default:"1" help:"Times as fast."`
	Report    string  `help:"Directory for report.json and report.html."`
	JSON      bool    `name:"json" help:"Print the report as JSON."`

	In    string        `help:"Instead of a recording: a log or HAR file, imported on the way (with --rules)."`
	Rules string        `help:"The file of rules for --in."`
	Limit int           `default:"0" hidden:"" help:"Of earlier versions; without effect."`
	Span  time.Duration `default:"0" help:"Of --in: replay no more than this from its start on; 0: all."`
}

func (c *replayCmd) Run(e *env) error {
	debug.SetMemoryLimit(math.MaxInt64)
	descriptors()
	if c.Front != "platform" && c.Front != "faktory" {
		return fmt.Errorf("--front: %q is neither platform nor faktory", c.Front)
	}
	if err := replay.CheckLoopback(c.To); err != nil {
		return fmt.Errorf("--to: %w", err)
	}
	if (c.Recording == "") == (c.In == "") {
		return errors.New("--recording or --in: one of them is needed")
	}
	path := c.Recording
	if c.In != "" {
		if c.Rules == "" {
			return errors.New("--rules: missing, --in needs it")
		}
		dir, err := os.MkdirTemp("", "hollyyoke-replay")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		path = filepath.Join(dir, sourceName(c.In)+".rec")
		imported, err := (&importCmd{Rules: c.Rules, Seed: 1, Zone: "UTC", In: []string{c.In}}).importTo(e, path)
		if imported != nil {
			tell(e.errs, imported)
		}
		if err != nil {
			return err
		}
		if c.Span > 0 {
			whole := path
			path += ".cut"
			if err := (&sliceCmd{To: c.Span, Output: path, File: whole}).Run(e); err != nil {
				return err
			}
		}
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	rep, err := send(e, path, replay.Options{Target: c.To, Faktory: c.Front == "faktory", Password: c.Password, Seed: c.Seed, Speed: c.Speed})
	if err != nil {
		return err
	}
	rep.FrontEnd = c.Front
	if n := rep.Sum(func(t *replay.Tally) int { return t.Withheld }); n > 0 {
		rep.WithheldReason = "the daemon was not started by this program, so nothing proves that its workers are stand-ins"
	}
	rep.Evaluate(nil)
	return finish(e, rep, c.JSON, c.Report)
}
