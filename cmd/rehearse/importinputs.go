package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// Standard input as an argument and as the name of a source.
const (
	stdinArgument = "-"
	stdinSource   = "stdin"
)

// rotationSuffix matches the suffixes that log rotation and compression add to the name of a file.
var rotationSuffix = regexp.MustCompile(`(\.[0-9]+|[.-][0-9]{4}-?[0-9]{2}-?[0-9]{2})?(\.(gz|zst|zstd))?$`)

// sourceName returns the name of the source of a file: the file's name without the suffixes of log rotation.
func sourceName(path string) string {
	name := filepath.Base(path)
	if short := rotationSuffix.ReplaceAllString(name, ""); short != "" {
		return short
	}
	return name
}

// splitInput splits an input of the command line into the name of its source and the path of its file. The name is
// empty unless the argument has the form NAME=FILE and no file has the whole argument as its path.
func splitInput(argument string) (source, path string) {
	if _, err := os.Stat(argument); err == nil {
		return "", argument
	}
	name, file, hasName := strings.Cut(argument, "=")
	if hasName && name != "" {
		return name, file
	}
	return "", argument
}

// openInputs opens the inputs of an import; closeAll closes them.
func openInputs(arguments []string, stdin io.Reader) (inputs []recording.Input, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			file.Close()
		}
	}
	for _, argument := range arguments {
		source, path := splitInput(argument)
		if path == stdinArgument {
			if source == "" {
				source = stdinSource
			}
			inputs = append(inputs, recording.Input{Source: source, File: stdinSource, Reader: stdin})
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		if source == "" {
			source = sourceName(path)
		}
		inputs = append(inputs, recording.Input{Source: source, File: filepath.Base(path), Reader: file})
	}
	return inputs, closeAll, nil
}
