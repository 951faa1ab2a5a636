// Command dispatcher-serve is the dispatcher's process, and nothing else: dispatcher
// becomes it. This file owns its start. It must never link the command line's
// library, or anything of the kit.
package main

import (
	"flag"
	"fmt"
	"os"

	"hollyyoke.example/hollyyoke/internal/daemon"
)

func main() {
	var f daemon.Files
	flag.StringVar(&f.Config, "config", "", "configuration `file`; BALANCER_CONFIG where not given")
	flag.StringVar(&f.Faktory, "faktory", "", "operator's `file` of the Faktory front")
	flag.StringVar(&f.Operator, "operator", "", "operator's `file`")
	form := flag.String("log-format", "text", "text or json")
	flag.BoolVar(&f.Trace, "trace", false, "log each step of each req, by the client's name for it")
	flag.Parse()
	if err := daemon.Serve(f, os.Getenv, daemon.NewLogger(os.Stderr, *form)); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher:", err)
		os.Exit(1)
	}
}
