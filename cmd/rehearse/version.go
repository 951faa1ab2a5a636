package main

import (
	"fmt"
	"runtime/debug"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// buildVersion returns the version and revision that the program was built from.
func buildVersion() string {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version += " " + s.Value
			}
		}
	}
	return version
}

// versionCmd prints the version.
type versionCmd struct{}

func (versionCmd) Run(e *environment) error {
	fmt.Fprintf(e.out, "rehearse %s, recordings of version %d\n", buildVersion(), recording.Version)
	return nil
}
