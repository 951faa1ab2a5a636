//go:build review

// Command standins2 plays the cases of the second review: it starts the project's programs as separate processes between
// stand-ins for clients, workers and the platform, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

// cases are the functions that play the cases, by number.
var cases = map[string]func(*testCase){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 NUMBER, from the root of the repository")
		os.Exit(2)
	}
	number := os.Args[1]
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	output, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	played := &testCase{
		number:    number,
		dir:       dir,
		trouble:   os.Getenv("TROUBLE") != "0",
		startedAt: time.Now(),
		output:    output,
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		played.cannotRun("it was told to end")
	}()
	time.AfterFunc(maxCaseTime, func() { played.cannotRun("it takes over %v", maxCaseTime) })
	played.record("case %s, disruption %v", number, played.trouble)
	cases[number](played)
	played.conclude()
}
