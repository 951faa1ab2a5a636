package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Config is the table [relay] of a relay's options file. [Load] fills in the defaults.
type Config struct {
	Name           string   `toml:"name" help:"this relay's name, unique among all subscribers of its upstream"`
	Zone           string   `toml:"zone" help:"the zone it serves"`
	Listen         string   `toml:"listen" help:"address for subscribers"`
	AdminAddr      string   `toml:"admin_addr" help:"address of the admin API, which is off if this is empty"`
	Upstreams      []string `toml:"upstreams" help:"addresses of discovery or of other relays, tried in order; reloaded on SIGHUP"`
	LogChanges     int      `toml:"log_changes" help:"limit of the change log; subscribers at older versions get a snapshot"`
	BatchMs        int      `toml:"batch_ms" help:"minimum time between two deltas to a subscriber"`
	UrgentBatchMs  int      `toml:"urgent_batch_ms" help:"the same if the second delta has a worker that is draining or gone"`
	BytesPerS      float64  `toml:"bytes_per_s" help:"mean rate to a subscriber"`
	AckExpiryS     int      `toml:"ack_expiry_s" help:"time after which a silent subscriber is no longer counted"`
	StaleAfterMs   int      `toml:"stale_after_ms" help:"time without an upstream after which watches are ended, so that subscribers fail over"`
	WriteTimeoutMs int      `toml:"write_timeout_ms" help:"time limit for writing one response or line, after which a subscriber that does not read is disconnected"`
	MaxSubscribers int      `toml:"max_subscribers" help:"limit of open watches; further ones are rejected with 503"`
}

// Defaults returns the values of options that the file does not set.
func Defaults() Config {
	return Config{
		LogChanges:     20_000,
		BatchMs:        1000,
		UrgentBatchMs:  100,
		BytesPerS:      6000,
		AckExpiryS:     90,
		StaleAfterMs:   2000,
		WriteTimeoutMs: 5000,
		MaxSubscribers: 2000,
	}
}

// Load reads and checks an options file. Every error is one line. If an option is
// invalid, the error names its key.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	file := struct {
		Relay Config `toml:"relay"`
	}{Defaults()}
	if err := tomlfile.Decode(text, &file); err != nil {
		return Config{}, err
	}
	if err := file.Relay.Check(); err != nil {
		return Config{}, fmt.Errorf("relay.%w", err)
	}
	return file.Relay, nil
}

const maxNameBytes = 128 // longest name of a relay or subscriber, in bytes

// Check returns an error that names the first invalid key, or nil.
func (c *Config) Check() error {
	if err := checkName(c.Name); err != nil {
		return fmt.Errorf("name: %w", err)
	}
	if strings.Contains(c.Name, ",") {
		return fmt.Errorf("name: %q holds a comma", c.Name) // a comma separates the names in a Via header
	}
	if err := checkAddress(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.AdminAddr != "" {
		if err := checkAddress(c.AdminAddr); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
	}
	if err := checkUpstreams(c.Upstreams); err != nil {
		return err
	}
	return c.checkNumbers()
}

// checkNumbers returns an error that names the first number out of its range, or nil.
func (c *Config) checkNumbers() error {
	ranges := []struct {
		key     string
		value   float64
		minimum float64
		maximum float64
	}{
		{"log_changes", float64(c.LogChanges), 1, 10_000_000},
		{"batch_ms", float64(c.BatchMs), 0, 5000},
		{"urgent_batch_ms", float64(c.UrgentBatchMs), 0, 200},
		{"bytes_per_s", c.BytesPerS, 100, 1e9},
		{"ack_expiry_s", float64(c.AckExpiryS), 5, 3600},
		{"stale_after_ms", float64(c.StaleAfterMs), 100, 60_000},
		{"write_timeout_ms", float64(c.WriteTimeoutMs), 10, 60_000},
		{"max_subscribers", float64(c.MaxSubscribers), 1, 100_000},
	}
	for _, option := range ranges {
		isInRange := option.value >= option.minimum && option.value <= option.maximum // false for NaN
		if !isInRange {
			return fmt.Errorf("%s: %g is not between %g and %g", option.key, option.value, option.minimum, option.maximum)
		}
	}
	return nil
}

// checkUpstreams returns an error that names the first invalid address, or nil.
func checkUpstreams(upstreams []string) error {
	if len(upstreams) == 0 {
		return errors.New("upstreams: at least one is needed")
	}
	seen := map[string]bool{}
	for i, address := range upstreams {
		if err := checkAddress(address); err != nil {
			return fmt.Errorf("upstreams[%d]: %w", i, err)
		}
		if seen[address] {
			return fmt.Errorf("upstreams[%d]: %s is listed twice", i, address)
		}
		seen[address] = true
	}
	return nil
}

// checkAddress returns an error unless address has the form HOST:PORT.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err == nil && port == "" {
		err = errors.New("no port")
	}
	if err != nil {
		return fmt.Errorf("%q is no HOST:PORT", address)
	}
	return nil
}

// checkName returns an error unless name is valid as the name of a relay or
// subscriber.
func checkName(name string) error {
	if name == "" {
		return errors.New("is empty")
	}
	if len(name) > maxNameBytes {
		return fmt.Errorf("is longer than %d bytes", maxNameBytes)
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%q holds a character that is not printable ASCII", name)
		}
	}
	return nil
}

// Explain writes one line for each option, with its key, value and description.
func (c *Config) Explain(out io.Writer) {
	value := reflect.ValueOf(*c)
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if key := field.Tag.Get("toml"); key != "" {
			fmt.Fprintf(out, "relay.%s = %v  # %s\n", key, value.Field(i).Interface(), field.Tag.Get("help"))
		}
	}
}

// ackExpiry returns how long a silent subscriber is counted.
func (c *Config) ackExpiry() time.Duration { return time.Duration(c.AckExpiryS) * time.Second }

// milliseconds returns the value of an option in milliseconds as a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
