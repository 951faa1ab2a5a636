package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// printFlags makes this test's program print the flags that main declares.
const printFlags = "HOLLYYOKE_TEST_TELL_FLAGS"

// TestMain runs the tests, or prints the flags in a process that a test starts.
func TestMain(m *testing.M) {
	if os.Getenv(printFlags) == "" {
		os.Exit(m.Run())
	}
	flag.CommandLine = flag.NewFlagSet("", flag.ExitOnError)
	flag.CommandLine.Usage = func() {
		flag.VisitAll(func(f *flag.Flag) {
			value, _ := f.Value.(flag.Getter)
			fmt.Printf("-%s %T default=%q\n", f.Name, value.Get(), f.DefValue)
		})
	}
	os.Args = []string{"", "-help"}
	main()
}

// Command dispatcher and units that start dispatcher-serve directly depend on its
// command line.
func TestGoldenCommandLine(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), printFlags+"=1")
	out, err := child.Output()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", string(out))
}
