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

	// maxDurableValue is the maximum of the numbers in the durable table. With it a
	// number of seconds fits a time.Duration.
	maxDurableValue = 1e9
)

// Config is the operator's configuration of the Faktory front end.
type Config struct {
	Listen   string `toml:"listen"`   // address for producers and workers; empty disables the server role
	Password string `toml:"password"` // that producers and workers must know; empty if none is required
	Source   struct {
		Address  string   `toml:"address"` // of the upstream server; empty disables the source role
		Password string   `toml:"password"`
		Queues   []string `toml:"queues"` // fetched in this order; empty for all classes
		Lanes    int      `toml:"lanes"`  // maximum number of jobs in progress, each on its own connection
		Wid      string   `toml:"wid"`    // worker ID sent to the upstream server; empty for a random one
	} `toml:"source"`
	Durable Durable `toml:"durable"`
}

// Durable is the durable table of the operator's configuration.
type Durable struct {
	Path        string   `toml:"path"`          // the file that stores the jobs; if it is empty no queue is durable
	Queues      []string `toml:"queues"`        // names of the durable queues, which are classes; the other classes have direct queues
	LeaseS      float64  `toml:"lease_s"`       // seconds that a lease lasts without a heartbeat, if the job has no reserve_for
	GraceS      float64  `toml:"grace_s"`       // seconds after a start for workers to reconnect and report their jobs
	Attempts    int      `toml:"attempts"`      // maximum attempts of an idempotent job without a retry field
	BackoffS    float64  `toml:"backoff_s"`     // seconds before the second attempt, doubled before each further one
	RetainS     float64  `toml:"retain_s"`      // seconds for which a completed job is kept
	RetainDeadS float64  `toml:"retain_dead_s"` // seconds for which a dead job is kept
	DelayMs     float64  `toml:"delay_ms"`      // milliseconds for which a batch of changes waits for further changes before its fsync
	Flush       bool     `toml:"flush"`         // whether FLUSH is allowed

	MemoryLimit int `toml:"-"` // bytes of memory for jobs, beyond which new ones are refused; 0 means no limit

	Log *slog.Logger `toml:"-"` // for the service of durable jobs; if it is nil nothing is logged

	injectWriteError func() error // for tests: store.Options.InjectWriteError
}

// ErrSourceHandover is the error of Config.CheckHandover for a process with the
// source role, which cannot hand over to a successor.
var ErrSourceHandover = errors.New("it fetches from upstream, whose jids are in memory only")

// DirectQueueError is the error of Config.CheckHandover for a process with a direct
// queue, which cannot hand over to a successor.
type DirectQueueError struct{ Queue string }

// Error names the queue.
func (e *DirectQueueError) Error() string {
	return fmt.Sprintf("queue %q is direct, and its jids are in memory only", e.Queue)
}

// Default returns the default configuration, into which a file or table is decoded.
func Default() (c Config) {
	c.Source.Lanes = defaultLanes
	return c
}

// ReadConfig reads and checks the operator's file. Each error names the field,
// and its text has one line.
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

// Check validates a configuration, and sets the queues of the source role to all
// classes if there are none. Each error names the field.
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

// CheckHandover checks that a process with this configuration can hand over to a
// successor. This is possible only if all its state is in the store. The error is
// ErrSourceHandover or a *DirectQueueError.
func (c *Config) CheckHandover(settings *decision.Settings) error {
	if c.Source.Address != "" {
		return ErrSourceHandover
	}
	for i := range settings.Classes {
		name := settings.Classes[i].Name
		if !slices.Contains(c.Durable.Queues, name) {
			return &DirectQueueError{Queue: name}
		}
	}
	return nil
}

// Classes reports for each class, by its index, whether it is durable.
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

// serviceConfig returns the configuration of the service of durable jobs.
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
			MemoryLimit:    c.MemoryLimit,
		},
		Store: store.Options{GroupCommitDelay: seconds(c.DelayMs / 1000), InjectWriteError: c.injectWriteError},
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
