package daemon

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/admin"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// This file owns the process: what it is told at its start and on SIGHUP, and
// its limits. It must never exit while an answer is owed, but on a second
// interrupt or a bad start, nor let any part of a file that is not whole through.

// Files are the paths of what is read. Config may be empty: then BALANCER_CONFIG
// names it; the others: off.
type Files struct {
	Config, Faktory, Operator string
	Trace                     bool // log each step of each req
}

// loaded is what the files say, checked.
type loaded struct {
	config      config
	told        decision.Settings // as the file words them: the Faktory front adds to them
	settings    decision.Settings
	faktory     faktory.Config
	hasFaktory  bool
	connections settings.Connections
	membership  settings.Membership
}

func load(f Files, env func(string) string) (l loaded, err error) {
	if l.config, l.told, err = readConfig(f.Config, env, false); err != nil {
		return l, err
	}
	l.settings = l.told
	if f.Operator != "" {
		l.faktory = faktory.Default()
		o, err := settings.ReadOperator(f.Operator, &l.faktory)
		if err != nil {
			return l, fmt.Errorf("%s: %w", f.Operator, err)
		}
		l.connections, l.membership = o.Connections, o.Membership
		if o.HasFaktory && f.Faktory != "" {
			return l, fmt.Errorf("%s: faktory: --faktory names a file for it too", f.Operator)
		}
		if l.hasFaktory = o.HasFaktory; l.hasFaktory {
			if err = l.faktory.Check(&l.settings); err == nil {
				err = faktory.Prepare(&l.settings)
			}
			if err != nil {
				return l, fmt.Errorf("%s: faktory.%w", f.Operator, err)
			}
		}
	}
	if f.Faktory != "" {
		l.hasFaktory = true
		if l.faktory, err = faktory.ReadConfig(f.Faktory, &l.settings); err == nil {
			err = faktory.Prepare(&l.settings)
		}
		if err != nil {
			return l, fmt.Errorf("%s: %w", f.Faktory, err)
		}
	}
	if l.config.Listen == "" && !l.hasFaktory {
		return l, errors.New("config: listen: missing")
	}
	return l, nil
}

// guard makes what the table [connections] says ready for use.
func guard(c *settings.Connections, descriptors int) (g listener.Config, err error) {
	if g.Limits, g.DescriptorFloors, g.Watermarks, g.WriteStall, err = c.Ready(transport.ConnectionDescriptors(descriptors)); err != nil {
		return g, fmt.Errorf("connections.%w", err)
	}
	g.Respond503 = c.RejectWith == "503"
	return g, nil
}

// follow makes what the table [membership] says ready for use.
func follow(m *settings.Membership, c *config, s *decision.Settings) (f discovery.FollowConfig, err error) {
	if f.Zone, f.Servers, f.Acknowledge, err = m.Ready(s); err != nil {
		return f, fmt.Errorf("membership.%w", err)
	}
	f.Name, f.Seed = c.Name, c.seed()
	return f, nil
}

// Check reads what Serve would read, and tells it. An error names what is wrong.
func Check(f Files, env func(string) string, out io.Writer) error {
	l, err := load(f, env)
	if err != nil {
		return err
	}
	loop := eventloop.New()
	d, err := dispatch.New(loop, l.settings, l.config.seed())
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := discovery.New(d, nil, l.config.Discovery).CheckList(l.config.Known); err != nil {
		return err
	}
	c := &l.config
	fmt.Fprintf(out, "name %s, listen %s, discovery %s, operators' door %s\n", c.Name, cmp.Or(c.Listen, "(off)"), cmp.Or(c.Discovery, "(none)"),
		cmp.Or(c.Admin, "(off)"))
	fmt.Fprintf(out, "descriptors %d, buffers up to %d MB\n", c.descriptors(), c.buffers()>>20)
	for _, class := range l.settings.Classes {
		repeat := "must not run twice"
		if class.Idempotency != decision.NonIdempotent {
			repeat = "may be repeated"
		}
		fmt.Fprintf(out, "class %s: deadline %v, %s\n", class.Name, class.Deadline, repeat)
	}
	if l.hasFaktory {
		if d := l.faktory.Durable; d.Path != "" {
			fmt.Fprintf(out, "durable queues: %s, kept in %s\n", strings.Join(d.Queues, " "), d.Path)
		}
		fmt.Fprintf(out, "Faktory front: listen %s, upstream %s\n", cmp.Or(l.faktory.Listen, "(off)"), cmp.Or(l.faktory.Source.Address, "(off)"))
	}
	if f.Operator != "" {
		if _, err := guard(&l.connections, c.clients()); err != nil {
			return fmt.Errorf("%s: %w", f.Operator, err)
		}
		if _, err := follow(&l.membership, c, &l.settings); err != nil {
			return fmt.Errorf("%s: %w", f.Operator, err)
		}
		l.connections.Explain(out)
		l.membership.Explain(out)
	}
	fmt.Fprintln(out, "good")
	return nil
}

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

func readConfig(path string, env func(string) string, again bool) (c config, s decision.Settings, err error) {
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
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
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
	return c.descriptors() - admin.MaxCalls - 1 // the listener too
}

// buffers is how many bytes the buffers may take up.
func (c *config) buffers() int {
	if c.Limits.MemoryMB < 1 {
		return 64 << 20
	}
	return int(c.Limits.MemoryMB * bufferShare * (1 << 20))
}

// openListener is where clients come: the socket that the platform keeps and that
// BALANCER_FD numbers, or one of our own.
func openListener(env func(string) string, addr string) (net.Listener, error) {
	text := env("BALANCER_FD")
	if text == "" {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("config: listen: %w", err)
		}
		return ln, nil
	}
	fd, err := strconv.Atoi(text)
	if err == nil && fd < 0 {
		err = errors.New("a descriptor is not negative")
	}
	var ln net.Listener
	if err == nil {
		ln, err = transport.ListenerFromDescriptor(fd)
	}
	if err != nil {
		return nil, fmt.Errorf("BALANCER_FD: %q: %w", text, err)
	}
	return ln, nil
}

// NewLogger is a process's log, in the form named: json, else text.
func NewLogger(w io.Writer, form string) *slog.Logger {
	if form == "json" {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(slog.NewTextHandler(w, nil))
}

// Serve runs the dispatcher until its planned end. An error tells why it did not
// start.
func Serve(f Files, env func(string) string, log *slog.Logger) error {
	runtime.GOMAXPROCS(1) // one goroutine owns all state, and the core is shared with others
	// From the first moment on: guards against a SIGHUP during the start, which ended the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signals := make(chan os.Signal, 4) // likewise: a SIGTERM during the start ends the program as planned
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	l, err := load(f, env)
	if err != nil {
		return err
	}
	c, s, told, second := l.config, l.settings, l.told, l.faktory
	if mb := c.Limits.MemoryMB; mb >= 1 {
		debug.SetMemoryLimit(int64(mb * (0.6 - bufferShare) * (1 << 20)))
	}
	debug.FreeOSMemory() // what reading the command line and the files took is not needed again
	loop := eventloop.New()
	d, err := dispatch.New(loop, s, c.seed())
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	log = log.With("name", c.Name)
	d.Log = func(text string) { log.Info(text) }
	d.Guard.Report = func(rule invariant.Rule, subject string) {
		d.Log(fmt.Sprintf("rule %v broken: %s", rule, subject))
	}
	if f.Trace {
		d.Trace = func(id, step string, more ...any) { log.Info(step, append(more, "id", id)...) }
	}
	engine, err := transport.NewEngine(loop, c.clients())
	if err != nil {
		return err
	}
	registry := discovery.New(d, engine, c.Discovery)
	workers := workerclient.New(d, engine, registry)
	if err := registry.CheckList(c.Known); err != nil {
		return err
	}
	n := &node{core: d, engine: engine, registry: registry, workers: workers, config: c, told: told}
	if l.membership.On {
		servers, err := follow(&l.membership, &c, &told)
		if err != nil {
			return fmt.Errorf("%s: %w", f.Operator, err)
		}
		registry.Follow(servers)
		n.follows = true
	}
	if l.connections.On {
		g, err := guard(&l.connections, c.clients())
		if err == nil {
			n.entry, err = listener.New(loop, engine, g, transport.ConnectionDescriptors(c.clients()), log)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", f.Operator, err)
		}
		n.entry.CloseIdleWorkers = workers.CloseAllIdle
	}
	n.sessions = transport.AcceptedShare(c.clients())
	if l.hasFaktory && c.Listen != "" {
		n.sessions /= 2 // half for either front
	}
	if c.Listen != "" {
		n.fronts.platform = httpfront.New(d, engine, c.buffers(), func() bool {
			return (d.ReadyWorkers() > 0 || registry.HasRunning()) && registry.Usable()
		})
		if n.entry != nil {
			n.fronts.platform.SetGate(n.entry)
		}
		if n.listener, err = openListener(env, c.Listen); err != nil {
			return err
		}
		d.Log("listening on " + n.listener.Addr().String())
	}
	former := n.former(env)
	second.Durable.Log = log
	open := func() (err error) {
		n.fronts.faktory, err = faktory.Open(d, engine, second, n.sessions, n.entry)
		if kept := n.fronts.faktory.Jobs(); err == nil && kept != nil && n.fronts.platform != nil {
			n.fronts.platform.SetDurable(kept, second.Durable.Classes(&d.Settings))
		}
		return err
	}
	if former != nil && l.hasFaktory {
		if err := second.Movable(&d.Settings); err != nil {
			return fmt.Errorf("%s: the Faktory front cannot be handed over, %w: end the running process first", cmp.Or(f.Faktory, f.Operator), err)
		}
		n.open = open
		if n.fronts.platform != nil {
			n.fronts.platform.SetDurable(nil, second.Durable.Classes(&d.Settings))
		}
	} else if l.hasFaktory {
		if err := open(); err != nil {
			return fmt.Errorf("%s: %w", cmp.Or(f.Faktory, f.Operator), err)
		}
	}
	if c.Admin != "" {
		desk := admin.Operations{
			Ready: n.ready, SetOutOfService: n.service, Gate: n.entry, Membership: registry.Stats,
			Jobs: func() *durable.Service { return n.fronts.faktory.Jobs() },
		}
		api := admin.New(d, engine, workers, desk)
		addr, err := api.Listen(c.Admin)
		if err != nil {
			return fmt.Errorf("config: admin_addr: %w", err)
		}
		d.Log("operators' door at " + addr)
	}
	n.start(former)

	go func() { // those that come while one is read are one
		for range hangups {
			next, now, err := readConfig(f.Config, env, true)
			var o settings.Operator
			if err == nil && f.Operator != "" {
				if o, err = settings.ReadOperator(f.Operator, nil); err != nil {
					err = fmt.Errorf("%s: %w", f.Operator, err)
				}
			}
			loop.Post(func() { n.reload(next, now, o, err) })
		}
	}()
	go func() {
		<-signals
		loop.Post(n.stop)
		for sig := range signals {
			if sig == syscall.SIGINT { // someone at a terminal insists; a second SIGTERM changes nothing
				os.Exit(1)
			}
		}
	}()
	loop.Run()
	if err := n.fronts.faktory.End(); err != nil {
		d.Log(fmt.Sprintf("the store: %v", err))
	}
	sum := d.Counts()
	d.Log(fmt.Sprintf("stopped: taken %d, served %d, refused %d, failed %d, hung up %d, attempts %d",
		sum.Accepted, sum.Served, sum.Rejected, sum.Failed, sum.Cancelled, sum.Attempts))
	return nil
}
