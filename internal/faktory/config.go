package faktory

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Limits of the configuration.
const (
	defaultLanes = 8
	maxLanes     = 64

	// maxDurableValue bounds the numbers of the durable table, so that a span in
	// seconds fits a duration.
	maxDurableValue = 1e9
)

// Config is the operator's configuration of the Faktory front end.
type Config struct {
	Listen   string `toml:"listen"`   // address for producers and workers; empty: no server role
	Password string `toml:"password"` // required of them; empty: none
	Source   struct {
		Address  string   `toml:"address"` // the upstream server; empty: no source role
		Password string   `toml:"password"`
		Queues   []string `toml:"queues"` // fetched in this order; empty: all classes
		Lanes    int      `toml:"lanes"`  // jobs in progress at once, each on a connection of its own
		Wid      string   `toml:"wid"`    // worker ID shown to the upstream server; empty: drawn at random
	} `toml:"source"`
	Durable Durable `toml:"durable"`
}

// Durable is the operator's table of durable queues.
type Durable struct {
	Path        string   `toml:"path"`          // the file that stores the jobs; empty: no queue is durable
	Queues      []string `toml:"queues"`        // the durable ones, by class; the others stay direct
	LeaseS      float64  `toml:"lease_s"`       // seconds without a heartbeat, where a job has no reserve_for
	GraceS      float64  `toml:"grace_s"`       // seconds after a start for workers to return with what they hold
	Attempts    int      `toml:"attempts"`      // of an idempotent job that does not say retry
	BackoffS    float64  `toml:"backoff_s"`     // seconds before the second attempt, doubled for each further one
	RetainS     float64  `toml:"retain_s"`      // seconds for which a completed job is remembered
	RetainDeadS float64  `toml:"retain_dead_s"` // seconds for which a dead job is remembered
	DelayMs     float64  `toml:"delay_ms"`      // milliseconds that a change waits for others before its fsync
	Flush       bool     `toml:"flush"`         // whether FLUSH is allowed

	Log *slog.Logger `toml:"-"` // receives the audit records; nil: discarded
}

// ErrSourceNotMovable says that a process with the source role cannot hand over
// to a successor.
var ErrSourceNotMovable = errors.New("it fetches from upstream, whose jids are in memory only")

// DirectQueueError says that a process with a direct queue cannot hand over to a
// successor.
type DirectQueueError struct{ Queue string }

// Error names the queue.
func (e *DirectQueueError) Error() string {
	return fmt.Sprintf("queue %q is direct, and its jids are in memory only", e.Queue)
}

// Default returns the configuration that a file or table is decoded into.
func Default() (c Config) {
	c.Source.Lanes = defaultLanes
	return c
}

// ReadConfig reads and checks the operator's file. Each error names the field
// and takes one line.
func ReadConfig(path string, settings *decision.Settings) (Config, error) {
	config := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return config, err
	}
	if err := tomlfile.Decode(text, &config); err != nil {
		return config, err
	}
	return config, config.Check(settings)
}

// Check validates a configuration and fills in the queues of the source role
// where they are left out. Each error names the field.
func (c *Config) Check(settings *decision.Settings) error {
	if c.Listen == "" && c.Source.Address == "" {
		return errors.New("listen: missing, and source.address too, so there is nothing to do")
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("source.address", c.Source.Address); err != nil {
		return err
	}
	if err := c.Durable.check(settings, c.Listen != ""); err != nil {
		return err
	}
	if c.Source.Lanes < 1 || c.Source.Lanes > maxLanes {
		return fmt.Errorf("source.lanes: %d is not between 1 and %d", c.Source.Lanes, maxLanes)
	}
	if len(c.Source.Queues) == 0 {
		for _, class := range settings.Classes {
			c.Source.Queues = append(c.Source.Queues, class.Name)
		}
	}
	for i, queue := range c.Source.Queues {
		if queue == "" || strings.ContainsAny(queue, " \r\n") {
			return fmt.Errorf("source.queues[%d]: %q is no queue name", i, queue)
		}
	}
	return nil
}

// checkAddress checks that an address is empty or of the form host:port.
func checkAddress(field, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q is no host:port", field, address)
	}
	return nil
}

// Movable checks that a process with this configuration can hand over to a
// successor, which needs all its state to be in the store. The error is
// ErrSourceNotMovable or a *DirectQueueError.
func (c *Config) Movable(settings *decision.Settings) error {
	if c.Source.Address != "" {
		return ErrSourceNotMovable
	}
	for i := range settings.Classes {
		name := settings.Classes[i].Name
		if !slices.Contains(c.Durable.Queues, name) {
			return &DirectQueueError{Queue: name}
		}
	}
	return nil
}

// Classes returns, by class index, which classes are durable.
func (c *Durable) Classes(settings *decision.Settings) []bool {
	durable := make([]bool, len(settings.Classes))
	for i := range settings.Classes {
		durable[i] = slices.Contains(c.Queues, settings.Classes[i].Name)
	}
	return durable
}

// check validates the durable table. Each error names the field.
func (c *Durable) check(settings *decision.Settings, serverRole bool) error {
	if c.Path == "" {
		if len(c.Queues) > 0 {
			return errors.New("durable.path: missing, so the queues cannot be kept")
		}
		return nil
	}
	if !serverRole {
		return errors.New("durable.path: the server role is off: listen is missing")
	}
	for i, queue := range c.Queues {
		isQueue := func(class decision.Class) bool { return class.Name == queue }
		if !slices.ContainsFunc(settings.Classes, isQueue) {
			return fmt.Errorf("durable.queues[%d]: no class %q is served here", i, queue)
		}
	}
	for _, number := range []struct {
		key   string
		value float64
	}{
		{"lease_s", c.LeaseS},
		{"grace_s", c.GraceS},
		{"backoff_s", c.BackoffS},
		{"retain_s", c.RetainS},
		{"retain_dead_s", c.RetainDeadS},
		{"delay_ms", c.DelayMs},
		{"attempts", float64(c.Attempts)},
	} {
		if number.value < 0 || number.value > maxDurableValue {
			return fmt.Errorf("durable.%s: %g is not between 0 and 1e9", number.key, number.value)
		}
	}
	return nil
}

// serviceConfig returns what the durable service is opened with.
func (c *Durable) serviceConfig() durable.Config {
	return durable.Config{
		Path: c.Path,
		Jobs: jobs.Config{
			LeaseDuration:  seconds(c.LeaseS),
			RecoveryGrace:  seconds(c.GraceS),
			MaxAttempts:    c.Attempts,
			InitialBackoff: seconds(c.BackoffS),
			Retention:      seconds(c.RetainS),
			DeadRetention:  seconds(c.RetainDeadS),
		},
		Store: store.Options{GroupCommitDelay: seconds(c.DelayMs / 1000)},
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
