package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// This file owns the simulator's commands. They must never end with 0 if a rule broke.

type simCmd struct {
	Run     simRunCmd     `cmd:"" help:"Let one day of a scenario pass in virtual time, and judge it."`
	Hunt    simHuntCmd    `cmd:"" help:"Play scenarios with many seeds on all cores, and tell the days that went worst."`
	Compare simCompareCmd `cmd:"" help:"Play two scenarios with the same seeds, and tell whether they differ."`
	Shrink  simShrinkCmd  `cmd:"" help:"Cut a scenario down to the smallest whose day with that seed is still bad."`
}

type simHuntCmd struct {
	Scenarios []string `arg:"" name:"scenario" help:"Scenario files."`
	Seeds     int      `default:"100" help:"Days of each."`
	From      uint64   `default:"1" help:"The first seed."`
	Worst     int      `default:"10" help:"Days to tell."`
}

type simCompareCmd struct {
	A     string `arg:"" help:"Scenario file."`
	B     string `arg:"" help:"The other."`
	Seeds int    `default:"100" help:"Pairs of days."`
	From  uint64 `default:"1" help:"The first seed."`
}

type simShrinkCmd struct {
	Scenario string `arg:"" help:"Scenario file."`
	Seed     uint64 `default:"1" help:"Of the day that is bad."`
	When     string `enum:"broken,failed,refused,late" default:"broken" help:"What makes a day bad: a rule that broke, or a request that failed, was refused or was late."`
	Out      string `short:"o" placeholder:"FILE" help:"Where the small scenario goes; standard output where not given."`
}

func scenarios(paths ...string) (list []simulator.Scenario, err error) {
	debug.SetMemoryLimit(math.MaxInt64) // days take what they need
	for _, path := range paths {
		sc, err := simulator.ReadScenario(path)
		if err != nil {
			return nil, err
		}
		list = append(list, sc)
	}
	return list, nil
}

// many plays days and shows how far that is.
func many(e *env, list []simulator.Scenario, seeds []uint64) ([][]simulator.Result, error) {
	show, n := progress(e, len(list)*len(seeds)), 0
	return simulator.RunAll(list, seeds, func() {
		n++
		if show != nil {
			show(n)
		}
	})
}

func (c *simHuntCmd) Run(e *env) error {
	list, err := scenarios(c.Scenarios...)
	if err != nil {
		return err
	}
	results, err := many(e, list, simulator.Seeds(c.From, max(c.Seeds, 1)))
	if err != nil {
		return err
	}
	rules, days := 0, 0
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tdays\tmean\tworst\tbest\tbroken\t")
	for i, of := range results {
		sum, low, high, bad := 0.0, math.Inf(1), math.Inf(-1), 0
		for _, r := range of {
			sum, low, high = sum+r.Score, min(low, r.Score), max(high, r.Score)
			bad += min(len(r.Violations), 1)
		}
		rules, days = rules+bad, days+len(of)
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%d\t\n", list[i].Name, len(of), sum/float64(len(of)), low, high, bad)
	}
	t.Flush()
	fmt.Fprintln(e.out, "the worst:")
	for _, d := range simulator.Worst(list, results, c.Worst) {
		fmt.Fprintf(e.out, "  %s, seed %d: %.4f", d.Scenario.Name, d.Result.Seed, d.Result.Score)
		for _, k := range d.Result.Classes {
			fmt.Fprintf(e.out, "; %s %.3f (refused %d, failed %d, late %d)", k.Name, k.WeightShare, k.Rejected, k.Failed, k.Late)
		}
		fmt.Fprintln(e.out)
		for _, why := range d.Result.Violations {
			fmt.Fprintln(e.out, "    BROKEN", why)
		}
	}
	if rules > 0 {
		return broken{fmt.Sprintf("rules broke on %d of %d days", rules, days)}
	}
	return nil
}

func (c *simCompareCmd) Run(e *env) error {
	list, err := scenarios(c.A, c.B)
	if err != nil {
		return err
	}
	results, err := many(e, list, simulator.Seeds(c.From, max(c.Seeds, 2)))
	if err != nil {
		return err
	}
	d := simulator.Compare(results[0], results[1])
	verdict := "B is better"
	switch {
	case d.Inconclusive:
		verdict = "noise: the interval holds 0"
	case d.MeanDifference < 0:
		verdict = "A is better"
	}
	fmt.Fprintf(e.out, "A %s %.4f, B %s %.4f; B less A %+.4f, 95%% between %+.4f and %+.4f; A was better in %d of %d pairs, %d even: %s\n",
		list[0].Name, d.MeanA, list[1].Name, d.MeanB, d.MeanDifference, d.Low, d.High, d.ABetter, d.Pairs, d.Even, verdict)
	return nil
}

func (c *simShrinkCmd) Run(e *env) error {
	list, err := scenarios(c.Scenario)
	if err != nil {
		return err
	}
	bad := func(r simulator.Result) bool {
		if c.When == "broken" {
			return len(r.Violations) > 0
		}
		n := 0
		for _, k := range r.Classes {
			n += map[string]int{"failed": k.Failed, "refused": k.Rejected, "late": k.Late}[c.When]
		}
		return n > 0
	}
	s, err := simulator.New(list[0], c.Seed, nil)
	if err != nil {
		return err
	}
	if !bad(s.Run()) {
		return fmt.Errorf("%s: with seed %d nothing is %s", c.Scenario, c.Seed, c.When)
	}
	small, tries, err := simulator.Shrink(list[0], c.Seed, bad)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "# Seed %d: %s. Cut down from %s by %d days.\n", c.Seed, c.When, list[0].Name, tries)
	if err := toml.NewEncoder(&text).Encode(small); err != nil {
		return err
	}
	if c.Out == "" {
		_, err = e.out.Write(text.Bytes())
		return err
	}
	return os.WriteFile(c.Out, text.Bytes(), 0o644)
}

type simRunCmd struct {
	Scenario string `arg:"" help:"Scenario file, as deploy/scenarios/day.toml."`
	Seed     uint64 `default:"1" help:"Of all chance; the same scenario and seed give the same events."`
	Log      string `placeholder:"FILE" help:"Write every event, a line each: nanosecond, dispatcher (-1: a worker), step, id, more."`
	JSON     bool   `name:"json" help:"The result as JSON."`
}

func (c *simRunCmd) Run(e *env) (err error) {
	list, err := scenarios(c.Scenario)
	if err != nil {
		return err
	}
	var log io.Writer
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		w := bufio.NewWriter(f)
		defer func() {
			for _, end := range []func() error{w.Flush, f.Close} {
				if e := end(); err == nil {
					err = e
				}
			}
		}()
		log = w
	}
	began := time.Now()
	s, err := simulator.New(list[0], c.Seed, log)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Scenario, err)
	}
	r := s.Run()
	if c.JSON {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "%s\n", text)
	} else {
		t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "class\tasked\tin aim\tlate\trefused\tfailed\tno answer\tp50 ms\tp90 ms\tp99 ms\tworth\t")
		for _, k := range r.Classes {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t\n", k.Name, k.Requests, k.WithinObjective, k.Late, k.Rejected, k.Failed, k.Unanswered,
				k.P50Ms, k.P90Ms, k.P99Ms, k.WeightShare)
		}
		t.Flush()
		fmt.Fprintf(e.out, "%s, seed %d: %.4f of the worth asked for; %d events, hash %s, %.2f s of our time\n",
			r.Scenario, r.Seed, r.Score, r.Events, r.Hash, time.Since(began).Seconds())
	}
	for _, why := range r.Violations {
		fmt.Fprintln(e.out, "BROKEN", why)
	}
	if len(r.Violations) > 0 {
		return broken{fmt.Sprintf("%d rules broke", len(r.Violations))}
	}
	return nil
}
