package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The tests of this package start the program and use it over sockets, with stand-ins
// for discovery and the workers. The ports on which daemons listen are chosen by
// childprocess.FreeAddress, all others by the kernel.

// builtProgram is the path of the program under test. dispatcher-serve is in the same
// directory.
var builtProgram string

func TestMain(m *testing.M) {
	if os.Getenv(killWorkerDirectory) != "" {
		runKillWorker()
	}
	dir, err := os.MkdirTemp("", "hollyyoke")
	if err != nil {
		panic(err)
	}
	builtProgram = filepath.Join(dir, "dispatcher")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, ".", "../dispatcher-serve")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
