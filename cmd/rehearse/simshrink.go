package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
)

// Values of --when that the code compares with. The remaining value is late.
const (
	whenViolated = "broken"
	whenFailed   = "failed"
	whenRejected = "refused"
)

// simShrinkCmd reduces a scenario.
type simShrinkCmd struct {
	Scenario string `arg:"" help:"Scenario file."`
	Seed     uint64 `default:"1" help:"Seed of the bad run."`
	When     string `enum:"broken,failed,refused,late" default:"broken" help:"What makes a run bad: a violated invariant, or a request that failed, was rejected or was late."`
	Output   string `name:"out" short:"o" placeholder:"FILE" help:"File to write the reduced scenario to; by default standard output."`
}

// isBad reports whether a run meets the condition that --when selects.
func (c *simShrinkCmd) isBad(result simulator.Result) bool {
	if c.When == whenViolated {
		return len(result.Violations) > 0
	}
	for i := range result.Classes {
		if c.badRequests(&result.Classes[i]) > 0 {
			return true
		}
	}
	return false
}

// badRequests counts the requests of a class that meet the condition that --when selects.
func (c *simShrinkCmd) badRequests(class *simulator.ClassResult) int {
	switch c.When {
	case whenFailed:
		return class.Failed
	case whenRejected:
		return class.Rejected
	default:
		return class.Late
	}
}

// Run reduces the scenario.
func (c *simShrinkCmd) Run(env *environment) error {
	scenarios, err := readScenarios(c.Scenario)
	if err != nil {
		return err
	}
	original := scenarios[0]
	simulation, err := simulator.New(original, c.Seed, nil)
	if err != nil {
		return err
	}
	if !c.isBad(simulation.Run()) {
		return fmt.Errorf("%s: with seed %d nothing is %s", c.Scenario, c.Seed, c.When)
	}
	small, runs, err := simulator.Shrink(original, c.Seed, c.isBad)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "# Seed %d: %s. Reduced from %s in %d runs.\n", c.Seed, c.When, original.Name, runs)
	if err := toml.NewEncoder(&text).Encode(small); err != nil {
		return err
	}
	if c.Output == "" {
		_, err = env.out.Write(text.Bytes())
		return err
	}
	return os.WriteFile(c.Output, text.Bytes(), 0o644)
}
