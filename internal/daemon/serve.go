package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"runtime"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
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
	daemon.dispatcher.Loop.Run() // until the end of shutdown
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
		config:     fileConfig,
		dispatcher: dispatcher,
		engine:     engine,
		registry:   registry,
		workers:    workers,
		frontEnds:  frontEnds{maxClients: loaded.maxClients()},
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

// start accepts clients; beside a predecessor, only once they can be served.
func (p *process) start(predecessor net.Conn) {
	p.replacement.limitsTimer.Fire = p.sendLimits
	if predecessor != nil && p.startAsSuccessor(predecessor) == nil {
		return
	}
	p.replacement.greetingDone = true // there is none to wait for
	p.loadInitialList(nil)
	p.serve()
	p.listenForSuccessor()
}

// loadInitialList starts from an endpoint list: the predecessor's or, where it has
// none or it cannot be used, the configuration's.
func (p *process) loadInitialList(predecessorList []byte) {
	if len(predecessorList) > 0 {
		err := p.registry.LoadInitial(predecessorList)
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
	p.phase = serving
	if p.frontEnds.http != nil {
		p.frontEnds.http.Serve(p.frontEnds.httpListener, p.frontEnds.maxClients)
	}
}
