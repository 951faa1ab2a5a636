package daemon

import (
	"errors"
	"fmt"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Files are the paths of the files that a process reads, and whether it logs a trace.
type Files struct {
	Config   string // configuration file; if empty, the path is in BALANCER_CONFIG
	Faktory  string // operator's file for the Faktory front end alone; empty if there is none
	Operator string // operator's file with a table for each subsystem; empty if there is none
	Trace    bool   // log each step of each request
}

// loadedFiles is the validated content of the files.
type loadedFiles struct {
	config             config
	configuredSettings decision.Settings // as in the configuration file
	settings           decision.Settings // in force: configuredSettings with the Faktory front end's additions
	faktory            faktory.Config
	hasFaktory         bool
	connections        settings.Connections
	membership         settings.Membership
}

// load reads and validates all files.
func load(files Files, env func(string) string) (l loadedFiles, err error) {
	l.config, l.configuredSettings, err = readConfig(files.Config, env, atStart)
	if err != nil {
		return l, err
	}
	l.settings = l.configuredSettings
	if err := l.loadOperator(files); err != nil {
		return l, err
	}
	if err := l.loadFaktory(files.Faktory); err != nil {
		return l, err
	}
	if l.config.Listen == "" && !l.hasFaktory {
		return l, errors.New("config: listen: missing")
	}
	return l, nil
}

// loadOperator reads the operator's file, if there is one.
func (l *loadedFiles) loadOperator(files Files) error {
	if files.Operator == "" {
		return nil
	}
	l.faktory = faktory.Default()
	operator, err := settings.ReadOperator(files.Operator, &l.faktory)
	if err != nil {
		return fmt.Errorf("%s: %w", files.Operator, err)
	}
	l.connections = operator.Connections
	l.membership = operator.Membership
	l.hasFaktory = operator.HasFaktory
	if !l.hasFaktory {
		return nil
	}
	if files.Faktory != "" {
		return fmt.Errorf("%s: faktory: --faktory names a file for it too", files.Operator)
	}
	err = l.faktory.Check(&l.settings)
	if err == nil {
		err = faktory.AddWorkerKinds(&l.settings)
	}
	if err != nil {
		return fmt.Errorf("%s: faktory.%w", files.Operator, err)
	}
	return nil
}

// loadFaktory reads the Faktory front end's own file, if there is one.
func (l *loadedFiles) loadFaktory(path string) (err error) {
	if path == "" {
		return nil
	}
	l.hasFaktory = true
	l.faktory, err = faktory.ReadConfig(path, &l.settings)
	if err == nil {
		err = faktory.AddWorkerKinds(&l.settings)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// gateConfig converts the operator's table [connections] to the configuration of a gate
// that may use the given number of descriptors.
func gateConfig(table *settings.Connections, descriptors int) (listener.Config, error) {
	limits, err := table.LimitsFor(transport.ConnectionDescriptors(descriptors))
	if err != nil {
		return listener.Config{}, fmt.Errorf("connections.%w", err)
	}
	return listener.Config{
		Limits:           limits.Admission,
		DescriptorFloors: limits.DescriptorFloors,
		Watermarks:       limits.Watermarks,
		Respond503:       limits.Respond503,
		WriteStall:       limits.WriteStall,
	}, nil
}

// followConfig converts the operator's table [membership] to the configuration with which
// the registry follows versioned changes of the endpoint list.
func followConfig(table *settings.Membership, current *config, configured *decision.Settings) (discovery.FollowConfig, error) {
	sources, err := table.SourcesFor(configured)
	if err != nil {
		return discovery.FollowConfig{}, fmt.Errorf("membership.%w", err)
	}
	return discovery.FollowConfig{
		Name:                current.Name,
		Zone:                sources.PreferredZone,
		Servers:             sources.Servers,
		AcknowledgeInterval: sources.AcknowledgeInterval,
		Seed:                current.seed(),
	}, nil
}
