package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// daemonConfig is the configuration file of the daemon.
type daemonConfig struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Discovery   string          `json:"discovery,omitempty"`
	Seed        string          `json:"seed"`
	Limits      resourceLimits  `json:"limits"`
	InitialList json.RawMessage `json:"known,omitempty"`
	Settings    json.RawMessage `json:"settings"`
}

type resourceLimits struct {
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

const (
	daemonDescriptors = 1024
	anyLoopbackPort   = "127.0.0.1:0"
)

// upstream is where a dispatcher gets changes of the endpoint list from: discovery at an address, or the membership servers
// of its own and other zones.
type upstream struct {
	discovery string
	servers   []membership.Server
}

// daemonCommand writes the configuration files of a daemon and returns the command that starts it.
func daemonCommand(program, dir, zone string, config daemonConfig, source upstream) (*exec.Cmd, error) {
	name := config.Name
	config.Listen = anyLoopbackPort
	config.Discovery = source.discovery
	config.Seed = "1"
	config.Limits.Descriptors = daemonDescriptors
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	args := []string{"--config", path}
	if len(source.servers) > 0 {
		operator := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(operator, membershipTable(zone, source.servers), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", operator)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"TMPDIR=" + dir}
	return cmd, nil
}

// membershipTable returns the operator file of a dispatcher that follows membership servers: its table membership.
func membershipTable(zone string, servers []membership.Server) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "[membership]\non = true\nzone = %q\n", zone)
	for _, server := range servers {
		fmt.Fprintf(&text, "[[membership.servers]]\nzone = %q\naddress = %q\n", server.Zone, server.Address)
	}
	return []byte(text.String())
}

// relayCommand writes the operator file of a relay and returns the command that starts it.
func relayCommand(program, dir, name, zone, origin string, logChanges int) (*exec.Cmd, error) {
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("[relay]\nname = %q\nzone = %q\nlisten = %q\nadmin_addr = %q\nupstreams = [%q]\nlog_changes = %d\n",
		name, zone, anyLoopbackPort, anyLoopbackPort, origin, logChanges)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "--operator", path)
	cmd.Env = []string{"TMPDIR=" + dir}
	return cmd, nil
}

// loopbackAddress returns the loopback address with its port in a line of output, or "" if there is none.
func loopbackAddress(line string) string {
	_, rest, ok := strings.Cut(line, "127.0.0.1:")
	if !ok {
		return ""
	}
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	if end == 0 {
		return ""
	}
	return "127.0.0.1:" + rest[:end]
}

// startTimeout is how long a relay may take to log its address.
const startTimeout = 20 * time.Second

// startRelay starts a relay, waits until it logs the address that it listens at, and returns that address.
func startRelay(name string, cmd *exec.Cmd) (started *child, addr string, err error) {
	found := make(chan string, 1)
	started, err = startChild(name, cmd, func(line []byte) {
		if address := loopbackAddress(string(line)); address != "" {
			select {
			case found <- address:
			default:
			}
		}
	})
	if err != nil {
		return nil, "", err
	}
	select {
	case addr = <-found:
		return started, addr, nil
	case <-started.exited:
		return nil, "", fmt.Errorf("%s has exited: %s", name, strings.TrimSpace(started.stderr.String()))
	case <-time.After(startTimeout):
		started.kill()
		return nil, "", fmt.Errorf("%s has not logged its address within %v", name, startTimeout)
	}
}
