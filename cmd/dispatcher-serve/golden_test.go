package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// printFlagsVariable is the environment variable that makes the test binary print the flags
// that main declares.
const printFlagsVariable = "HOLLYYOKE_TEST_TELL_FLAGS"

// TestMain runs the tests, or prints the flags if printFlagsVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(printFlagsVariable) == "" {
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

// The command line must not change: command dispatcher uses it, and so do operators' units
// that start dispatcher-serve directly.
func TestGoldenCommandLine(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), printFlagsVariable+"=1")
	out, err := child.Output()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", string(out))
}
