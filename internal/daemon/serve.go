package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/admin"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// Serve runs the dispatcher until its graceful end, and returns nil then. An error
// says why it did not start. It uses one processor, as one goroutine owns all state
// and the machine is shared with others, unless there are durable queues.
func Serve(files Files, env func(string) string, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	caught := catchSignals()
	defer caught.release()
	loaded, err := load(files, env)
	if err != nil {
		return err
	}
	loaded.config.limitHeap()
	log = log.With("name", loaded.config.Name)
	daemon, err := newProcess(files, loaded, log)
	if err != nil {
		return err
	}
	if err := daemon.openHTTP(env); err != nil {
		return err
	}
	predecessor := daemon.dialPredecessor(env)
	if err := daemon.setUpFaktory(predecessor != nil, log); err != nil {
		return err
	}
	if err := daemon.openAdmin(); err != nil {
		return err
	}
	daemon.start(predecessor)
	go daemon.handleReloads(env, caught.reload)
	go daemon.handleStops(caught.stop)
	daemon.dispatcher.Loop.Run()
	daemon.end()
	return nil
}

// newProcess builds dispatcher, registry, worker client and gate. No socket is open
// after that.
func newProcess(files Files, loaded loadedFiles, log *slog.Logger) (*process, error) {
	fileConfig := loaded.config
	dispatcher, err := dispatch.New(eventloop.New(), loaded.settings, fileConfig.seed())
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	logFrom(dispatcher, log, files.Trace)
	engine, err := transport.NewEngine(dispatcher.Loop, fileConfig.connectionDescriptors())
	if err != nil {
		return nil, err
	}
	registry := discovery.New(dispatcher, engine, fileConfig.Discovery)
	workers := workerclient.New(dispatcher, engine, registry)
	if err := registry.CheckList(fileConfig.Known); err != nil {
		return nil, err
	}
	daemon := &process{
		files:      files,
		loaded:     loaded,
		dispatcher: dispatcher,
		engine:     engine,
		registry:   registry,
		workers:    workers,
		config:     fileConfig,
		maxClients: transport.AcceptedShare(fileConfig.connectionDescriptors()),
	}
	if loaded.hasFaktory && fileConfig.Listen != "" {
		daemon.maxClients /= 2 // half for either front end
	}
	if err := daemon.applyOperator(log); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Operator, err)
	}
	return daemon, nil
}

// logFrom has a dispatcher log messages, violated invariants and, where trace is set,
// the steps of each request.
func logFrom(dispatcher *dispatch.Dispatcher, log *slog.Logger, trace bool) {
	dispatcher.Log = func(text string) { log.Info(text) }
	dispatcher.Guard.Report = func(rule invariant.Rule, subject string) {
		dispatcher.Log(fmt.Sprintf("invariant %v violated: %s", rule, subject))
	}
	if trace {
		dispatcher.Trace = func(id, step string, more ...any) { log.Info(step, append(more, "id", id)...) }
	}
}

// applyOperator applies the operator's tables [membership] and [connections].
func (p *process) applyOperator(log *slog.Logger) error {
	if p.loaded.membership.Enabled {
		follow, err := followConfig(&p.loaded.membership, &p.config, &p.loaded.configuredSettings)
		if err != nil {
			return err
		}
		p.registry.Follow(follow)
		p.followsMembership = true
	}
	if !p.loaded.connections.Enabled {
		return nil
	}
	descriptors := p.config.connectionDescriptors()
	gateLimits, err := gateConfig(&p.loaded.connections, descriptors)
	if err != nil {
		return err
	}
	p.gate, err = listener.New(p.dispatcher.Loop, p.engine, gateLimits, transport.ConnectionDescriptors(descriptors), log)
	if err != nil {
		return err
	}
	p.gate.CloseIdleWorkers = p.workers.CloseAllIdle
	return nil
}

// openHTTP opens the HTTP front end's listener, if it is on.
func (p *process) openHTTP(env func(string) string) (err error) {
	if p.config.Listen == "" {
		return nil
	}
	p.frontEnds.http = httpfront.New(p.dispatcher, p.engine, p.config.bufferMemory(), p.hasWorkers)
	if p.gate != nil {
		p.frontEnds.http.SetGate(p.gate)
	}
	p.listener, err = openListener(env, p.config.Listen)
	if err != nil {
		return err
	}
	p.dispatcher.Log("listening on " + p.listener.Addr().String())
	return nil
}

// hasWorkers reports whether requests can be served by the endpoint list.
func (p *process) hasWorkers() bool {
	if p.dispatcher.ReadyWorkers() == 0 && !p.registry.HasRunning() {
		return false
	}
	return p.registry.Usable()
}

// openListener returns the listener for clients: the socket that the platform keeps
// and numbers in the environment, or a new one at addr.
func openListener(env func(string) string, addr string) (net.Listener, error) {
	text := env(envListenerDescriptor)
	if text == "" {
		opened, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("config: listen: %w", err)
		}
		return opened, nil
	}
	inherited, err := inheritListener(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %q: %w", envListenerDescriptor, text, err)
	}
	return inherited, nil
}

// inheritListener returns the listener of a descriptor's number.
func inheritListener(text string) (net.Listener, error) {
	descriptor, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	if descriptor < 0 {
		return nil, errors.New("a descriptor is not negative")
	}
	return transport.ListenerFromDescriptor(descriptor)
}

// setUpFaktory opens the Faktory front end, if it is on; beside a predecessor, which
// has its address and its store, it prepares to open it later.
func (p *process) setUpFaktory(hasPredecessor bool, log *slog.Logger) error {
	if !p.loaded.hasFaktory {
		return nil
	}
	faktoryConfig := p.loaded.faktory
	faktoryConfig.Durable.Log = log
	file := cmp.Or(p.files.Faktory, p.files.Operator)
	open := func() error { return p.openFaktory(faktoryConfig) }
	if !hasPredecessor {
		if err := open(); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		return nil
	}
	if err := faktoryConfig.Movable(&p.dispatcher.Settings); err != nil {
		return fmt.Errorf("%s: the Faktory front end cannot be handed over, %w: end the running process first", file, err)
	}
	p.handover.openFaktory = open
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetDurable(nil, faktoryConfig.Durable.Classes(&p.dispatcher.Settings))
	}
	return nil
}

// openFaktory opens the Faktory front end, and lets the HTTP front end use its
// store.
func (p *process) openFaktory(c faktory.Config) (err error) {
	p.frontEnds.faktory, err = faktory.Open(p.dispatcher, p.engine, c, p.maxClients, p.gate)
	if err != nil {
		return err
	}
	service := p.frontEnds.faktory.DurableJobs()
	if service != nil && p.frontEnds.http != nil {
		p.frontEnds.http.SetDurable(service, c.Durable.Classes(&p.dispatcher.Settings))
	}
	return nil
}

// openAdmin opens the admin API, if it is on.
func (p *process) openAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	api := admin.New(p.dispatcher, p.engine, p.workers, admin.Operations{
		Ready:           p.ready,
		SetOutOfService: p.setOutOfService,
		Gate:            p.gate,
		Membership:      p.registry.Stats,
		Jobs:            func() *durable.Service { return p.frontEnds.faktory.DurableJobs() },
	})
	addr, err := api.Listen(p.config.Admin)
	if err != nil {
		return fmt.Errorf("config: admin_addr: %w", err)
	}
	p.dispatcher.Log("admin API at " + addr)
	return nil
}

// start accepts clients; beside a predecessor, only once they can be served.
func (p *process) start(predecessor net.Conn) {
	p.handover.limitsTimer.Fire = p.sendLimits
	if predecessor != nil && p.startAsSuccessor(predecessor) == nil {
		return
	}
	p.handover.greetingDone = true
	p.loadInitialList(nil)
	if p.frontEnds.http != nil {
		p.serve()
	}
	p.listenForSuccessor()
}

// loadInitialList starts from an endpoint list: the predecessor's or, where it has
// none or it cannot be used, the configuration's.
func (p *process) loadInitialList(list []byte) {
	if len(list) > 0 {
		err := p.registry.LoadInitial(list)
		if err == nil {
			return
		}
		p.logListError(err)
	}
	if err := p.registry.LoadInitial(p.config.Known); err != nil { // it was checked at the start
		p.dispatcher.Log(err.Error())
	}
}

// serve accepts clients from now on.
func (p *process) serve() {
	p.serving = true
	p.frontEnds.http.Serve(p.listener, p.maxClients)
}

// end closes the store and logs what the process has done.
func (p *process) end() {
	if err := p.frontEnds.faktory.Close(); err != nil {
		p.dispatcher.Log(fmt.Sprintf("durable job store: %v", err))
	}
	sum := p.dispatcher.Counts()
	p.dispatcher.Log(fmt.Sprintf("stopped: accepted %d, served %d, rejected %d, failed %d, cancelled %d, attempts %d",
		sum.Accepted, sum.Served, sum.Rejected, sum.Failed, sum.Cancelled, sum.Attempts))
}
