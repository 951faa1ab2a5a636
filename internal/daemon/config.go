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

// Environment variables that the platform sets. All but envConfig,
// envListenerDescriptor and envRuntimeDirectory override a key of the configuration file.
const (
	envConfig             = "BALANCER_CONFIG"     // path of the configuration file
	envName               = "BALANCER_NAME"       // name
	envListen             = "BALANCER_LISTEN"     // listen
	envAdminAddress       = "BALANCER_ADMIN_ADDR" // admin_addr
	envDiscovery          = "BALANCER_DISCOVERY"  // discovery
	envListenerDescriptor = "BALANCER_FD"         // number of the inherited listener's descriptor
	envRuntimeDirectory   = "TMPDIR"              // directory of the handover socket
)

// defaultName is the dispatcher's name where neither file nor environment give one.
const defaultName = "hollyyoke"

// config is the configuration file, with the environment's overrides applied.
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

// limits are the resources of all processes of the dispatcher together; a value
// below 1 is no limit.
type limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// occasion is when the configuration is read.
type occasion int

const (
	atStart occasion = iota // the environment's discovery address goes before the file's
	// At a reload the file's goes first: the environment still has the one of the start.
	atReload
)

// readConfig reads and checks the configuration file at path, or at the path that
// the environment names if path is empty.
func readConfig(path string, env func(string) string, when occasion) (c config, s decision.Settings, err error) {
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
	c.applyEnvironment(env, when)
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return c, s, fmt.Errorf("config: discovery: %w", err)
		}
	}
	s, err = readSettings(c.Settings)
	return c, s, err
}

// applyEnvironment overrides what the environment names.
func (c *config) applyEnvironment(env func(string) string, when occasion) {
	c.Name = cmp.Or(env(envName), c.Name, defaultName)
	c.Listen = cmp.Or(env(envListen), c.Listen)
	c.Admin = cmp.Or(env(envAdminAddress), c.Admin)
	if when == atStart || c.Discovery == "" {
		c.Discovery = cmp.Or(env(envDiscovery), c.Discovery)
	}
}

// readSettings reads and checks the key settings.
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

// seed returns the seed of random draws: the configured text read as a hexadecimal
// number, or the hash of any other text.
func (c *config) seed() uint64 {
	text := fmt.Sprint(c.Seed)
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, text)
	return hash.Sum64()
}
