package daemon

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"strconv"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// Environment variables that the platform sets. envName, envListen, envAdminAddress and
// envDiscovery each override a key of the configuration file, which their comments name.
const (
	envConfig             = "BALANCER_CONFIG"     // path of the configuration file
	envName               = "BALANCER_NAME"       // name
	envListen             = "BALANCER_LISTEN"     // listen
	envAdminAddress       = "BALANCER_ADMIN_ADDR" // admin_addr
	envDiscovery          = "BALANCER_DISCOVERY"  // discovery
	envListenerDescriptor = "BALANCER_FD"         // descriptor number of the inherited listening socket
	envRuntimeDirectory   = "TMPDIR"              // directory of the handover socket
)

// defaultName is the dispatcher's name if neither the configuration file nor the
// environment gives one.
const defaultName = "hollyyoke"

// config is the content of the configuration file, with the environment's overrides
// applied.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"`
	Seed      any             `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     json.RawMessage `json:"known"` // the initial endpoint list
	Settings  json.RawMessage `json:"settings"`
}

// limits are the resources that all processes of the dispatcher may use together: the
// running process, and its successor while it is being replaced. A value below 1 means
// that there is no limit.
type limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// loadTrigger is the reason for which the configuration is read. It decides whether the
// discovery address of the environment or that of the file is used if both give one.
type loadTrigger int

const (
	atStart loadTrigger = iota // the environment's discovery address overrides the file's
	// At a reload the file's address overrides the environment's: the environment of a
	// running process cannot change, so it still has the address from the start.
	atReload
)

// readConfig reads and validates the configuration file at path, or at the path in
// envConfig if path is empty. It also returns the decoded key settings of the file.
func readConfig(path string, env func(string) string, trigger loadTrigger) (c config, s decision.Settings, err error) {
	path = cmp.Or(path, env(envConfig))
	if path == "" {
		return c, s, errors.New("config: neither -config nor BALANCER_CONFIG names a file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, s, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, s, fmt.Errorf("config: %w", settings.DecodeError(err))
	}
	c.applyEnvironment(env, trigger)
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return c, s, fmt.Errorf("config: discovery: %w", err)
		}
	}
	s, err = readSettings(c.Settings)
	return c, s, err
}

// applyEnvironment overrides the keys for which the environment has a value.
func (c *config) applyEnvironment(env func(string) string, trigger loadTrigger) {
	c.Name = cmp.Or(env(envName), c.Name, defaultName)
	c.Listen = cmp.Or(env(envListen), c.Listen)
	c.Admin = cmp.Or(env(envAdminAddress), c.Admin)
	if trigger == atStart || c.Discovery == "" {
		c.Discovery = cmp.Or(env(envDiscovery), c.Discovery)
	}
}

// readSettings decodes and validates the value of the key settings.
func readSettings(text json.RawMessage) (s decision.Settings, err error) {
	if len(text) == 0 {
		return s, errors.New("config: settings: missing")
	}
	s, err = settings.Read(text)
	if err != nil {
		return s, fmt.Errorf("config: settings: %w", err)
	}
	for i, class := range s.Classes {
		if class.Name == "" {
			return s, fmt.Errorf("config: settings: classes[%d].name: missing", i)
		}
	}
	return s, nil
}

// seed returns the seed of the random number generators: the configured value, if its
// text is a hexadecimal number, or else a hash of the text.
func (c *config) seed() uint64 {
	text := fmt.Sprint(c.Seed)
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, text)
	return hash.Sum64()
}
