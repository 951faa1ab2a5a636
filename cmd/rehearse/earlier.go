package main

import (
	"slices"
	"strings"
)

// earlierFlags are the flags of earlier versions, which had a single dash.
var earlierFlags = []string{"in", "rules", "to", "front", "password", "limit", "span", "json"}

// translateEarlier translates command lines of earlier versions and returns all others as they are. Earlier versions
// had no commands, but flags with single dashes; later their command scale is what rescale is now.
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

// doubleDash adds the second dash to a flag of earlier versions and returns all other arguments as they are.
func doubleDash(arg string) string {
	name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	hasSingleDash := strings.HasPrefix(arg, "-") && !strings.HasPrefix(arg, "--")
	if hasSingleDash && slices.Contains(earlierFlags, name) {
		return "-" + arg
	}
	return arg
}

// isReplayFlag reports whether an argument is a flag that only a replay without a command's name begins with.
func isReplayFlag(arg string) bool {
	return strings.HasPrefix(arg, "--in") || strings.HasPrefix(arg, "--rules") || strings.HasPrefix(arg, "--to")
}

// isOutputFlag reports whether an argument names an output file, as those of commands on recordings do.
func isOutputFlag(arg string) bool {
	return strings.HasPrefix(arg, "-o") || strings.HasPrefix(arg, "--output")
}
