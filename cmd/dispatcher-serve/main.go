// Command dispatcher-serve runs the dispatcher and has no other subcommands. Command
// dispatcher replaces itself with this program (execve), and operators' units may start it
// directly. It links neither the command line library nor the rehearsal packages, which
// keeps its memory use small.
package main

import (
	"flag"
	"fmt"
	"os"

	"hollyyoke.example/hollyyoke/internal/daemon"
)

func main() {
	var files daemon.Files
	flag.StringVar(&files.Config, "config", "", "configuration `file`; BALANCER_CONFIG where not given")
	flag.StringVar(&files.Faktory, "faktory", "", "operator's `file` of the Faktory front end")
	flag.StringVar(&files.Operator, "operator", "", "operator's `file`")
	logFormat := flag.String("log-format", "text", "text or json")
	flag.BoolVar(&files.Trace, "trace", false, "log each step of each request, under the id that the client gave")
	flag.Parse()
	if err := daemon.Serve(files, os.Getenv, daemon.NewLogger(os.Stderr, *logFormat)); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher:", err)
		os.Exit(1)
	}
}
