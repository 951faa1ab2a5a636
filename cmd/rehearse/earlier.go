package main

import (
	"slices"
	"strings"
)

// earlierFlags are the flags of earlier versions, which were written with a single dash.
var earlierFlags = []string{"in", "rules", "to", "front", "password", "limit", "span", "json"}

// translateEarlier translates command lines of earlier versions and returns all others unchanged. The first versions
// had no commands, and flags with a single dash. Later versions had a command scale that is now called rescale.
func translateEarlier(args []string) []string {
	if len(args) > 0 && args[0] == "scale" && slices.ContainsFunc(args, isOutputFlag) {
		return append([]string{"rescale"}, args[1:]...)
	}
	if len(args) == 0 || !strings.HasPrefix(args[0], "-") {
		return args
	}
	translated := []string{"replay"}
	for _, arg := range args {
		translated = append(translated, doubleDash(arg))
	}
	if slices.ContainsFunc(translated[1:], isReplayFlag) {
		return translated
	}
	return args
}

// doubleDash adds the second dash to a flag of earlier versions and returns all other arguments unchanged.
func doubleDash(arg string) string {
	name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	hasSingleDash := strings.HasPrefix(arg, "-") && !strings.HasPrefix(arg, "--")
	if hasSingleDash && slices.Contains(earlierFlags, name) {
		return "-" + arg
	}
	return arg
}

// isReplayFlag reports whether an argument is a flag that shows that a command line without the name of a command is a
// replay.
func isReplayFlag(arg string) bool {
	return strings.HasPrefix(arg, "--in") || strings.HasPrefix(arg, "--rules") || strings.HasPrefix(arg, "--to")
}

// isOutputFlag reports whether an argument is the flag for the output file that commands on recordings have.
func isOutputFlag(arg string) bool {
	return strings.HasPrefix(arg, "-o") || strings.HasPrefix(arg, "--output")
}
