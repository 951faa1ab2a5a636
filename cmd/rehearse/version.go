package main

import (
	"fmt"
	"runtime/debug"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// buildVersion returns the version and revision that the program was built from.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(devel)"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(env *environment) error {
	fmt.Fprintf(env.out, "rehearse %s, recordings of version %d\n", buildVersion(), recording.Version)
	return nil
}
