package goldentest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// Commands lists the commands, flags and arguments of a command line, sorted, each with
// everything that decides how it is written. Tests compare the list with a golden file.
// The program's name and the help texts may change and are not listed.
func Commands(app *kong.Application) []string {
	lines := appendCommandLines(nil, "", app.Node)
	slices.Sort(lines)
	return lines
}

// appendCommandLines appends the lines of the command at a path and of its subcommands.
func appendCommandLines(lines []string, path string, command *kong.Node) []string {
	for _, flag := range command.Flags {
		lines = append(lines, strings.TrimSpace(path+" "+flagLine(flag)))
	}
	for i, argument := range command.Positional {
		lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s argument %d %s", path, i+1, valueLine(argument))))
	}
	for _, child := range command.Children {
		childPath := strings.TrimSpace(path + " " + child.Name)
		lines = append(lines, childPath+commandLine(command, child))
		lines = appendCommandLines(lines, childPath, child)
	}
	return lines
}

// commandLine formats the properties of a command.
func commandLine(parent, command *kong.Node) string {
	line := ""
	if parent.DefaultCmd == command {
		line += " default=" + command.Tag.Default
	}
	if command.Hidden {
		line += " hidden"
	}
	for _, alias := range command.Aliases {
		line += " alias=" + alias
	}
	return line + ":"
}

// flagLine formats a flag.
func flagLine(flag *kong.Flag) string {
	line := "--" + valueLine(flag.Value)
	if flag.Short != 0 {
		line += " short=-" + string(flag.Short)
	}
	if flag.Negated {
		line += " negated"
	}
	if flag.Hidden {
		line += " hidden"
	}
	if flag.PlaceHolder != "" {
		line += " placeholder=" + flag.PlaceHolder
	}
	for _, alias := range flag.Aliases {
		line += " alias=" + alias
	}
	for _, group := range flag.Xor {
		line += " xor=" + group
	}
	for _, group := range flag.And {
		line += " and=" + group
	}
	return line
}

// valueLine formats the properties that flags and arguments have in common.
func valueLine(value *kong.Value) string {
	line := value.Name + " " + valueKind(value.Target.Type())
	if value.Required {
		line += " required"
	}
	if value.HasDefault {
		line += fmt.Sprintf(" default=%q", value.Default)
	}
	if value.Enum != "" {
		line += " enum=" + value.Enum
	}
	if value.Tag != nil {
		for _, name := range value.Tag.Envs {
			line += " env=" + name
		}
	}
	return line
}

// valueKind returns the kind of a value, which decides how it is written on the command line.
func valueKind(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + valueKind(t.Elem())
	case t.Kind() == reflect.Map:
		return "map of " + valueKind(t.Key()) + " to " + valueKind(t.Elem())
	case t.Kind() == reflect.Pointer:
		return valueKind(t.Elem())
	}
	return t.Kind().String()
}
