// Command hollyyoke is the dispatcher: it takes jobs from clients over sockets
// and has backends run them, as the module decides. This file owns the
// process: what it is told at its start and on SIGHUP, its limits, and its
// planned end. It must never exit while an answer is owed, but on a second
// interrupt or a bad start, nor take over any part of a file that is not whole.
package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	stdnet "net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke"
	"hollyyoke.example/hollyyoke/internal/control"
	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/net"
	"hollyyoke.example/hollyyoke/internal/platform"
	"hollyyoke.example/hollyyoke/internal/settings"
)

func main() {
	runtime.GOMAXPROCS(1) // one goroutine owns all state, and the core is shared with others
	if err := run(os.Args[1:], os.Getenv, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "hollyyoke:", err)
		os.Exit(1)
	}
}

// arrivalWindow is how long new connections and requests may still come after
// SIGTERM: 0.4 s by the platform's page, and some for a slow machine.
const arrivalWindow = 600 * time.Millisecond

// config is what the dispatcher is told: the file, with the environment before
// it. After a reload the file's discovery comes before the environment's, which
// still names the one that the program was started with.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"`
	Seed      any             `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

func readConfig(path string, env func(string) string, again bool) (c config, s hollyyoke.Settings, err error) {
	if path = cmp.Or(path, env("BALANCER_CONFIG")); path == "" {
		return c, s, errors.New("config: neither -config nor BALANCER_CONFIG names a file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, s, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return c, s, fmt.Errorf("config: %s: a %s cannot stand here", wrong.Field, wrong.Value)
		}
		return c, s, fmt.Errorf("config: %w", err)
	}
	c.Name = cmp.Or(env("BALANCER_NAME"), c.Name, "hollyyoke")
	c.Listen = cmp.Or(env("BALANCER_LISTEN"), c.Listen)
	c.Admin = cmp.Or(env("BALANCER_ADMIN_ADDR"), c.Admin)
	if !again || c.Discovery == "" {
		c.Discovery = cmp.Or(env("BALANCER_DISCOVERY"), c.Discovery)
	}
	if c.Discovery != "" {
		if _, _, err := stdnet.SplitHostPort(c.Discovery); err != nil {
			return c, s, fmt.Errorf("config: discovery: %w", err)
		}
	}
	if len(c.Settings) == 0 {
		return c, s, errors.New("config: settings: missing")
	}
	if s, err = settings.Read(c.Settings); err != nil {
		return c, s, fmt.Errorf("config: settings: %w", err)
	}
	for i, class := range s.Classes {
		if class.Name == "" {
			return c, s, fmt.Errorf("config: settings: classes[%d].name: missing", i)
		}
	}
	return c, s, nil
}

// seed turns what the config says into a number: hexadecimal digits, else any text.
func (c *config) seed() uint64 {
	text := fmt.Sprint(c.Seed)
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// descriptors is the smaller of what the config and the system allow.
func (c *config) descriptors() int {
	n := 1024
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<20 {
		n = int(limit.Cur)
	}
	if c.Limits.Sockets >= 1 {
		n = min(n, int(c.Limits.Sockets))
	}
	return n
}

// bufferShare is the part of the memory allowed that buffers may take up; they
// lie outside the heap, which has as much again.
const bufferShare = 0.3

// clients is how many of them are left where the operators' door has its own.
func (c *config) clients() int {
	if c.Admin == "" {
		return c.descriptors()
	}
	return c.descriptors() - control.Calls - 1 // the listener too
}

// buffers is how many bytes the buffers may take up.
func (c *config) buffers() int {
	if c.Limits.MemoryMB < 1 {
		return 64 << 20
	}
	return int(c.Limits.MemoryMB * bufferShare * (1 << 20))
}

func run(args []string, env func(string) string, log io.Writer) error {
	flags := flag.NewFlagSet("hollyyoke", flag.ContinueOnError)
	configPath := flags.String("config", "", "configuration `file`; BALANCER_CONFIG where not given")
	faktoryPath := flags.String("faktory", env("HOLLYYOKE_FAKTORY"), "operator's `file` of the Faktory front; off where not given")
	if err := flags.Parse(args); err != nil {
		return err
	}
	// From the first moment on: guards against a SIGHUP during the start, which ended the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	c, s, err := readConfig(*configPath, env, false)
	if err != nil {
		return err
	}
	told := s // as the file words them: the Faktory front adds to them
	var second faktory.Config
	if *faktoryPath != "" {
		if second, err = faktory.ReadConfig(*faktoryPath, &s); err == nil {
			err = faktory.Prepare(&s)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", *faktoryPath, err)
		}
	}
	if c.Listen == "" && *faktoryPath == "" {
		return errors.New("config: listen: missing")
	}
	if mb := c.Limits.MemoryMB; mb >= 1 {
		debug.SetMemoryLimit(int64(mb * (0.6 - bufferShare) * (1 << 20)))
	}
	loop := core.NewLoop()
	d, err := core.New(loop, s, c.seed())
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	d.Log = func(text string) { fmt.Fprintf(log, "%s: %s\n", c.Name, text) }
	engine, err := net.NewEngine(loop, c.clients())
	if err != nil {
		return err
	}
	backends := platform.NewBackends(d, engine, c.Discovery)
	if err := backends.Known(c.Known); err != nil {
		return fmt.Errorf("config: known: %w", err)
	}
	fronts, sessions := fronts{}, net.Accepted(c.clients())
	if *faktoryPath != "" && c.Listen != "" {
		sessions /= 2 // half for either front
	}
	if c.Listen != "" {
		fronts.platform = platform.NewFront(d, engine, c.buffers(), func() bool {
			return d.Backends() > 0 || backends.Listed()
		})
		addr, err := fronts.platform.Listen(c.Listen, sessions)
		if err != nil {
			return fmt.Errorf("config: listen: %w", err)
		}
		d.Log("listening on " + addr)
	}
	if *faktoryPath != "" {
		if fronts.faktory, err = faktory.Open(d, engine, second, sessions); err != nil {
			return fmt.Errorf("%s: %w", *faktoryPath, err)
		}
	}

	node := &node{core: d, fronts: fronts}
	if c.Admin != "" {
		door := control.New(d, engine, backends, control.Desk{Ready: node.ready, Service: node.service})
		addr, err := door.Listen(c.Admin)
		if err != nil {
			return fmt.Errorf("config: admin_addr: %w", err)
		}
		d.Log("operators' door at " + addr)
	}

	go func() { // those that come while one is read are one
		for range hangups {
			next, now, err := readConfig(*configPath, env, true)
			loop.Post(func() { c = reload(d, backends, c, next, told, now, err) })
		}
	}()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		loop.Post(node.stop)
		for sig := range signals {
			if sig == syscall.SIGINT { // someone at a terminal insists; a second SIGTERM changes nothing
				os.Exit(1)
			}
		}
	}()
	loop.Run()
	n := d.Counts()
	d.Log(fmt.Sprintf("stopped: taken %d, served %d, refused %d, failed %d, hung up %d, fetches %d",
		n.Taken, n.Served, n.Refused, n.Failed, n.HungUp, n.Fetches))
	return nil
}

// reload takes over from a file read anew what can change while the program
// runs: where discovery is. It returns what is in force now. A file of which any
// part is wrong changes nothing; what needs a restart is named in the log.
func reload(d *core.Core, b *platform.Backends, c, next config, told, now hollyyoke.Settings, err error) config {
	if err == nil {
		err = b.CheckList(next.Known)
	}
	if err == nil {
		if _, err = hollyyoke.New(now, 0); err != nil {
			err = fmt.Errorf("config: %w", err)
		}
	}
	if err != nil {
		d.Log(fmt.Sprintf("reload: %v; what was in force stays", err))
		return c
	}
	var restart []string
	for name, changed := range map[string]bool{
		"name": next.Name != c.Name, "listen": next.Listen != c.Listen, "admin_addr": next.Admin != c.Admin, "limits": next.Limits != c.Limits,
		"settings": !reflect.DeepEqual(now, told),
	} {
		if changed {
			restart = append(restart, name)
		}
	}
	slices.Sort(restart)
	text := "reload: discovery stays at " + c.Discovery
	if next.Discovery != c.Discovery {
		text = "reload: discovery moves to " + next.Discovery
		b.Move(next.Discovery)
	}
	if len(restart) > 0 {
		text += "; changed, but only a restart takes over: " + strings.Join(restart, ", ")
	}
	d.Log(text)
	c.Discovery = next.Discovery
	return c
}

// fronts are those that are on.
type fronts struct {
	platform *platform.Front
	faktory  faktory.Front
}

// close ends what owes nothing, now and from now on, and tells whether all has ended.
func (f fronts) close() bool {
	ended := f.faktory.Idle()
	if f.platform != nil {
		f.platform.Close()
		ended = ended && f.platform.Sessions() == 0
	}
	return ended
}

// node is the running dispatcher as operators and signals see it.
type node struct {
	core     *core.Core
	fronts   fronts
	stopping bool
}

// ready tells whether this process takes clients.
func (n *node) ready() bool {
	return !n.stopping && (n.fronts.platform == nil || n.fronts.platform.Serving())
}

var errStopping = errors.New("the dispatcher is ending and does not come back into service")

// service takes the dispatcher out of service or back in; said again, it changes nothing.
func (n *node) service(out bool) error {
	switch {
	case n.stopping && !out:
		return errStopping
	case n.fronts.platform == nil:
		return errors.New("the Faktory front alone tells no health, and cannot be taken out of service")
	case n.stopping: // it is out already
	case out:
		n.core.Log("out of service")
		n.fronts.platform.Withdraw()
	default:
		n.core.Log("in service")
		n.fronts.platform.Return()
	}
	return nil
}

// stop is the planned end: all that comes in the arrival window is served like
// before, then sessions end between requests, and the last answer ends the program.
func (n *node) stop() {
	d, f, loop := n.core, n.fronts, n.core.Loop
	n.stopping = true
	if f.platform != nil {
		f.platform.Stop()
	}
	f.faktory.Stop()
	loop.After(arrivalWindow, func() {
		// For requests that have begun to come in, and for closings that upstream has not taken.
		patience, upstream := loop.Now()+time.Second, loop.Now()+8*time.Second
		var last func()
		last = func() {
			ended, now := f.close(), loop.Now()
			if d.Owed() == 0 && (ended || now > patience && !f.faktory.Busy() || now > upstream) {
				// What was answered just now is still on its way out of the sockets.
				loop.After(lastBytes, loop.Stop)
				return
			}
			loop.After(5*time.Millisecond, last)
		}
		last()
	})
}

// lastBytes is left to sockets for their last bytes before the process ends.
const lastBytes = 50 * time.Millisecond
