package main

import (
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"time"
)

// The load of the known clients, which connect from the known prefixes of the operator file, by class.
const (
	classStatusCheck     = "status-check"
	statusCheckObjective = 250 * time.Millisecond
	statusCheckDeadline  = 5 * time.Second
	statusCheckWork      = 30 * time.Millisecond

	classRenewal     = "renewal" // must not be retried
	renewalObjective = 200 * time.Millisecond
	renewalDeadline  = 8 * time.Second
	renewalWork      = 40 * time.Millisecond
	renewalShare     = 4 // every fourth request is a renewal
)

// floodCmd measures the service to known clients while hostile clients connect, in several parts: by default one with
// connection admission and one without. Each part starts a new daemon. The command fails only if a part violated a rule;
// it reports the quality of service, but does not fail if that is poor.
type floodCmd struct {
	Operator           string        `default:"deploy/operator.toml" help:"The daemon's operator file, whose known prefixes must include 127.9.0.0/24."`
	Hostile            int           `default:"5000" help:"Number of concurrent hostile clients."`
	Sources            int           `default:"250" help:"Number of addresses that hostile clients connect from."`
	Descriptors        int           `name:"sockets" default:"1024" help:"The daemon's limit on descriptors."`
	Clients            int           `default:"20" help:"Number of addresses that known clients connect from."`
	Rate               float64       `default:"80" help:"Requests per second of all known clients."`
	Duration           time.Duration `name:"for" default:"15s" help:"How long known clients send in each part."`
	Seed               uint64        `default:"1"`
	Alone              bool          `help:"Add a part without hostile clients."`
	ExhaustDescriptors bool          `name:"starve" help:"Run two other parts instead, with twice the rate and few hostile clients: one with all descriptors, one with none left in the middle third."`
	Daemon             string        `help:"The daemon's program; by default dispatcher in the directory of this program."`
	JSON               bool          `name:"json" help:"Print as JSON."`
}

// Run runs all parts and fails if one violated a rule.
func (c *floodCmd) Run(env *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	if c.ExhaustDescriptors {
		return c.runExhaustion(env)
	}
	return c.runAdmission(env)
}

// runAdmission runs one part with connection admission and one without, and first, on request, one without hostile clients.
func (c *floodCmd) runAdmission(env *environment) error {
	var parts []floodPart
	if c.Alone {
		parts = append(parts, floodPart{name: "alone", operatorFile: c.Operator})
	}
	parts = append(parts,
		floodPart{name: "admission on", operatorFile: c.Operator, hostileClients: c.Hostile},
		floodPart{name: "admission off", hostileClients: c.Hostile},
	)
	results, err := c.runParts(parts)
	if err != nil {
		return err
	}
	if c.JSON {
		return errors.Join(writeJSON(env.out, results), checkFloodRules(results))
	}
	writeFlood(env.out, results)
	return checkFloodRules(results)
}

// The load of runExhaustion, relative to the flags Rate and Hostile.
const (
	exhaustionRateFactor     = 2
	exhaustionHostileDivisor = 25
)

// runExhaustion runs one part with all descriptors, and one in which the daemon has no descriptors left in the middle
// third of the part.
func (c *floodCmd) runExhaustion(env *environment) error {
	c.Rate *= exhaustionRateFactor
	hostileClients := c.Hostile / exhaustionHostileDivisor
	var normalCPU, exhaustedCPU time.Duration // of the daemon, in the middle third of a part
	results, err := c.runParts([]floodPart{
		{name: "whole", operatorFile: c.Operator, hostileClients: hostileClients, duringLoad: c.measureMiddleThird(&normalCPU)},
		{name: "starved", operatorFile: c.Operator, hostileClients: hostileClients, duringLoad: c.exhaustMiddleThird(&exhaustedCPU)},
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return errors.Join(writeJSON(env.out, results), checkFloodRules(results))
	}
	writeFlood(env.out, results)
	fmt.Fprintf(env.out, "daemon's processor time in the middle third: %v normally, %v without descriptors\n", normalCPU, exhaustedCPU)
	recoverySecond := int((floodLead + c.Duration*2/3) / time.Second)
	writeRecovery(env.out, results[1].seconds, recoverySecond)
	return checkFloodRules(results)
}

// runParts runs the parts one after another.
func (c *floodCmd) runParts(parts []floodPart) ([]floodResult, error) {
	var results []floodResult
	for _, part := range parts {
		result, err := c.runPart(part)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// checkFloodRules returns a violationError if a part violated a rule.
func checkFloodRules(results []floodResult) error {
	for _, result := range results {
		if !result.RulesHeld {
			return violationError{"a rule was violated"}
		}
	}
	return nil
}
