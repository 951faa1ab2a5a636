package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// The tests of this package start the program and use it over sockets, with stand-ins
// for discovery and the workers. The ports of daemons are chosen by childprocess.FreeAddress,
// all others by the kernel.

// builtProgram is the path of the program under test. dispatcher-serve lies beside it.
var builtProgram string

func TestMain(m *testing.M) {
	if dir := os.Getenv("KILL_WORKER"); dir != "" {
		seed, _ := strconv.ParseUint(os.Getenv("KILL_SEED"), 10, 64)
		slow, _ := strconv.ParseFloat(os.Getenv("KILL_SLOW"), 64)
		runKillWorker(dir, os.Getenv("KILL_WID"), os.Getenv("KILL_PROMISE"), seed, slow)
	}
	dir, err := os.MkdirTemp("", "hollyyoke")
	if err != nil {
		panic(err)
	}
	builtProgram = filepath.Join(dir, "dispatcher")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, ".", "../dispatcher-serve").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
