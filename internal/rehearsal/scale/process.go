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

// This file owns real daemons and relays as processes: their files and their start.

// daemonConfig is the daemon's configuration file.
type daemonConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery,omitempty"`
	Seed      string          `json:"seed"`
	Limits    daemonLimits    `json:"limits"`
	Known     json.RawMessage `json:"known,omitempty"`
	Settings  json.RawMessage `json:"settings"`
}

type daemonLimits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	daemonSockets = 1024
	listenAny     = "127.0.0.1:0"
)

// upstream is where a dispatcher hears of changes: from discovery at an address,
// or from the servers of its zone and others.
type upstream struct {
	discovery string
	servers   []membership.Server
}

// daemonCommand writes the files of a real daemon and returns its command.
func daemonCommand(program, dir, zone string, config daemonConfig, up upstream) (*exec.Cmd, error) {
	name := config.Name
	config.Listen, config.Discovery, config.Seed = listenAny, up.discovery, "1"
	config.Limits.Sockets = daemonSockets
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	args := []string{"--config", path}
	if len(up.servers) > 0 {
		operator := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(operator, membershipTable(zone, up.servers), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", operator)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"TMPDIR=" + dir}
	return cmd, nil
}

// membershipTable is the operator file of a dispatcher that follows servers.
func membershipTable(zone string, servers []membership.Server) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "[membership]\non = true\nzone = %q\n", zone)
	for _, server := range servers {
		fmt.Fprintf(&text, "[[membership.servers]]\nzone = %q\naddress = %q\n", server.Zone, server.Address)
	}
	return []byte(text.String())
}

// relayCommand writes the file of a relay and returns its command.
func relayCommand(program, dir, name, zone, origin string, logChanges int) (*exec.Cmd, error) {
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("[relay]\nname = %q\nzone = %q\nlisten = %q\nadmin_addr = %q\nupstreams = [%q]\nlog_changes = %d\n",
		name, zone, listenAny, listenAny, origin, logChanges)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "--operator", path)
	cmd.Env = []string{"TMPDIR=" + dir}
	return cmd, nil
}

// loopbackAddress finds an address on loopback in a line that a process wrote.
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

const startPatience = 20 * time.Second

// startRelay starts a relay and waits until it tells where it listens.
func startRelay(name string, cmd *exec.Cmd) (c *child, addr string, err error) {
	found := make(chan string, 1)
	c, err = startChild(name, cmd, func(line []byte) {
		if a := loopbackAddress(string(line)); a != "" {
			select {
			case found <- a:
			default:
			}
		}
	})
	if err != nil {
		return nil, "", err
	}
	select {
	case addr = <-found:
		return c, addr, nil
	case <-c.ended:
		return nil, "", fmt.Errorf("%s has ended: %s", name, strings.TrimSpace(c.stderr.String()))
	case <-time.After(startPatience):
		c.kill()
		return nil, "", fmt.Errorf("%s does not tell where it listens", name)
	}
}
