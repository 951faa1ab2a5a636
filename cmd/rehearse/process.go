package main

import (
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// The programs of this project that commands start. They are expected in the directory of this program.
const (
	daemonProgram      = "dispatcher"
	daemonServeProgram = "dispatcher-serve"
	relayProgram       = "membership-relay"
)

var errNoDaemon = errors.New("no daemon beside this program: build it, or name it by --daemon")

// siblingProgram returns the given program or, if none is given, the path of the program with a name in the directory
// of this program. It does not check that this program exists.
func siblingProgram(given, name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return cmp.Or(given, filepath.Join(filepath.Dir(self), name)), nil
}

// daemonPath returns the given program or, if none is given, the daemon in the directory of this program. That daemon
// must exist.
func daemonPath(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	path, err := siblingProgram("", daemonProgram)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", errNoDaemon
	}
	return path, nil
}

// raiseDescriptorLimit raises the soft limit on descriptors to the hard limit. An error is ignored; fewer connections
// can then be open.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= limit.Max {
		return
	}
	limit.Cur = limit.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}
