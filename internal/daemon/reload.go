package daemon

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// reloadedFiles is the content of the files that a reload reads: the configuration file
// and the operator's file.
type reloadedFiles struct {
	config   config
	settings decision.Settings
	operator settings.Operator
}

// readForReload reads the files again. It is called outside the loop's goroutine, since
// reading blocks.
func readForReload(files Files, env func(string) string) (r reloadedFiles, err error) {
	r.config, r.settings, err = readConfig(files.Config, env, atReload)
	if err != nil || files.Operator == "" {
		return r, err
	}
	r.operator, err = settings.ReadOperator(files.Operator, nil)
	if err != nil {
		return r, fmt.Errorf("%s: %w", files.Operator, err)
	}
	return r, nil
}

// reload applies the keys that can change while the process runs: the discovery address,
// the limits on connections, and the servers whose versioned changes are followed. It logs
// the names of changed keys that need a restart. If any part has an error, nothing is
// applied.
func (p *process) reload(next *reloadedFiles) error {
	if err := p.checkReload(next); err != nil {
		return err
	}
	follow, err := followConfig(&next.operator.Membership, &p.config, &p.loaded.configuredSettings)
	if err != nil {
		return err
	}
	err = p.reloadGate(&next.operator.Connections) // the last step that can fail, and the first that changes something
	if err != nil {
		return err
	}
	if p.gate != nil {
		p.dispatcher.Log("reload: connection limits are applied from the operator's file")
	}
	if p.loaded.membership.Enabled {
		p.registry.Follow(follow)
		p.dispatcher.Log(fmt.Sprintf("reload: versioned changes come from %d servers, zone %q first", len(follow.Servers), follow.Zone))
	}
	p.reloadDiscovery(next)
	return nil
}

// checkReload returns an error if the new configuration is invalid, or turns membership on
// or off, which needs a restart.
func (p *process) checkReload(next *reloadedFiles) error {
	if err := p.registry.CheckList(next.config.Known); err != nil {
		return err
	}
	if _, err := decision.New(next.settings, 0); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if next.operator.Membership.Enabled != p.loaded.membership.Enabled {
		return errors.New("membership.on: only a restart turns it on or off")
	}
	return nil
}

// reloadGate applies the limits on connections, if the gate is on. If the table has an
// error, nothing changes.
func (p *process) reloadGate(table *settings.Connections) error {
	if p.gate == nil {
		return nil
	}
	gateLimits, err := gateConfig(table, p.config.connectionDescriptors())
	if err != nil {
		return err
	}
	if !table.Enabled {
		return errors.New("connections.on: only a restart turns it off")
	}
	return p.gate.Reconfigure(gateLimits, transport.ConnectionDescriptors(p.config.connectionDescriptors()))
}

// reloadDiscovery moves the discovery watch to the configured address, in this process and
// in its peer process. It logs the address, and the changed keys that need a restart.
func (p *process) reloadDiscovery(next *reloadedFiles) {
	message := "reload: discovery stays at " + p.config.Discovery
	if next.config.Discovery != p.config.Discovery {
		message = "reload: discovery moves to " + next.config.Discovery
		p.registry.ChangeAddress(next.config.Discovery)
		p.sendToPeer(handover.Message{DiscoveryMoved: next.config.Discovery})
	}
	if keys := p.restartKeys(next); len(keys) > 0 {
		message += "; changed, but a restart is needed: " + strings.Join(keys, ", ")
	}
	p.dispatcher.Log(message)
	p.config.Discovery = next.config.Discovery
}

// restartKeys returns the names of the keys that have changed but take effect only at a
// restart, sorted.
func (p *process) restartKeys(next *reloadedFiles) []string {
	var changed []string
	for _, key := range []struct {
		name    string
		changed bool
	}{
		{"admin_addr", next.config.Admin != p.config.Admin},
		{"limits", next.config.Limits != p.config.Limits},
		{"listen", next.config.Listen != p.config.Listen},
		{"name", next.config.Name != p.config.Name},
		{"settings", !reflect.DeepEqual(next.settings, p.loaded.configuredSettings)},
	} {
		if key.changed {
			changed = append(changed, key.name)
		}
	}
	return changed
}
