package main

import "runtime/debug"

// This file owns which build of the program this is.

// buildVersion is the version and revision that the program was built from.
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
