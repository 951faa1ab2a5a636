package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// tellFlags makes this test's program tell the flags that main declares.
const tellFlags = "HOLLYYOKE_TEST_TELL_FLAGS"

func TestMain(m *testing.M) {
	if os.Getenv(tellFlags) == "" {
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

// The command line of the lean program is what hollyyoke hands to it, and units
// that start it without hollyyoke.
func TestGoldenCommandLine(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), tellFlags+"=1")
	out, err := child.Output()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", string(out))
}
