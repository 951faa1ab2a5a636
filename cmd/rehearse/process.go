package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// daemonPath returns the daemon's program: the given one, or the one beside this program.
func daemonPath(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "dispatcher")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no daemon beside this program: build it, or name it by --daemon")
	}
	return path, nil
}

// raiseDescriptorLimit raises the soft limit on descriptors to the hard one. If that fails, fewer connections can be
// open.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
}
