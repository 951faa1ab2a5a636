package main

import (
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"time"
)

// The known clients' load, by class.
const (
	classStatusCheck     = "status-check"
	statusCheckObjective = 250 * time.Millisecond
	statusCheckDeadline  = 5 * time.Second
	statusCheckWork      = 30 * time.Millisecond

	classRenewal     = "renewal" // must not be retried
	renewalObjective = 200 * time.Millisecond
	renewalDeadline  = 8 * time.Second
	renewalWork      = 40 * time.Millisecond
	renewalShare     = 4 // one in so many requests is a renewal
)

// floodCmd sends requests of known clients together with hostile load, with connection admission on and off. It fails only
// if a rule was violated; how good the service was is for the reader to judge.
type floodCmd struct {
	Operator           string        `default:"deploy/operator.toml" help:"The daemon's operator file, whose known prefixes must hold 127.9.0.0/24."`
	Hostile            int           `default:"5000" help:"Hostile clients at a time."`
	Sources            int           `default:"250" help:"Addresses that they come from."`
	Descriptors        int           `name:"sockets" default:"1024" help:"Descriptors that the daemon has."`
	Clients            int           `default:"20" help:"Addresses of known clients."`
	Rate               float64       `default:"80" help:"Their requests a second."`
	Duration           time.Duration `name:"for" default:"15s" help:"How long each part takes."`
	Seed               uint64        `default:"1"`
	Alone              bool          `help:"Also without any hostile client."`
	ExhaustDescriptors bool          `name:"starve" help:"Instead: twice the rate with few hostile clients, once with all descriptors and once with none left in the middle third."`
	Daemon             string        `help:"The daemon's program; not given: dispatcher beside this one."`
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

// runAdmission compares the service with connection admission on and off.
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

// The load of an exhaustion run, relative to that of the flags.
const (
	exhaustionRateFactor     = 2
	exhaustionHostileDivisor = 25
)

// runExhaustion compares the service with all descriptors and with none left in the middle third.
func (c *floodCmd) runExhaustion(env *environment) error {
	c.Rate *= exhaustionRateFactor
	hostileClients := c.Hostile / exhaustionHostileDivisor
	var normalCPU, exhaustedCPU time.Duration // in the middle third
	results, err := c.runParts([]floodPart{
		{name: "whole", operatorFile: c.Operator, hostileClients: hostileClients, during: c.measureMiddleThird(&normalCPU)},
		{name: "starved", operatorFile: c.Operator, hostileClients: hostileClients, during: c.exhaustMiddleThird(&exhaustedCPU)},
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

// runParts runs the parts one after the other.
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
