// Command hollyyoke-rehearse replays recorded traffic, a HAR file or an access
// log, to a dispatcher on a loopback address and reports what became of it.
// This file owns the command line. It must never end with 0 if a rule broke.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal"
)

// Exit codes: a rule was broken; the rehearsal could not be held, or not whole.
const (
	exitBroken = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("hollyyoke-rehearse", flag.ContinueOnError)
	flags.SetOutput(errs)
	in := flags.String("in", "", "the recording: a HAR 1.2 `file`, or an access log in the Common or Combined format")
	rulesPath := flags.String("rules", "", "the `file` of rules that map entries to classes")
	to := flags.String("to", "", "the dispatcher, `host:port` on a loopback address")
	front := flags.String("front", "platform", "the front to speak to: platform or faktory")
	password := flags.String("password", "", "of the Faktory front")
	limit := flags.Int("limit", 10_000, "entries at most")
	span := flags.Duration("span", 10*time.Minute, "length of the recording at most")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	report, err := rehearse(*in, *rulesPath, *front, *limit, *span, rehearsal.Options{To: *to, Password: *password}, errs)
	if err != nil {
		fmt.Fprintln(errs, "hollyyoke-rehearse:", err)
		return exitUsage
	}
	if *asJSON {
		raw, _ := json.MarshalIndent(report, "", "  ") // numbers and strings always marshal
		fmt.Fprintln(out, string(raw))
	} else {
		report.Write(out)
	}
	switch {
	case report.Broken():
		fmt.Fprintln(errs, "hollyyoke-rehearse: a rule was broken: not each entry has one final answer in time")
		return exitBroken
	case report.Unsent() > 0:
		fmt.Fprintf(errs, "hollyyoke-rehearse: %d entries could not be sent\n", report.Unsent())
		return exitUsage
	}
	return 0
}

func rehearse(in, rulesPath, front string, limit int, span time.Duration, o rehearsal.Options, errs io.Writer) (*rehearsal.Report, error) {
	switch {
	case in == "":
		return nil, errors.New("-in: missing")
	case rulesPath == "":
		return nil, errors.New("-rules: missing")
	case front != "platform" && front != "faktory":
		return nil, fmt.Errorf("-front: %q is neither platform nor faktory", front)
	case limit < 1 || limit > 65_536:
		return nil, fmt.Errorf("-limit: %d is not between 1 and 65536", limit)
	case span <= 0:
		return nil, errors.New("-span: must be positive")
	}
	if err := rehearsal.Loopback(o.To); err != nil {
		return nil, fmt.Errorf("-to: %w", err)
	}
	o.Faktory = front == "faktory"
	rules, err := rehearsal.ReadRules(rulesPath)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", rulesPath, err)
	}
	file, err := os.Open(in)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, bad, cut, err := rehearsal.Read(file, rehearsal.Limits{Entries: limit, Span: span})
	for _, b := range bad {
		fmt.Fprintf(errs, "%s: %s\n", in, b)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", in, err)
	}
	if cut {
		fmt.Fprintf(errs, "%s: longer than -limit and -span allow; the first %d entries are replayed\n", in, len(entries))
	}
	if len(entries) == 0 {
		return nil, fmt.Errorf("%s: no entry to replay", in)
	}
	return rehearsal.Replay(entries, &rules, o)
}
