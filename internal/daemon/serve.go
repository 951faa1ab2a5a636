package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"runtime"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// Serve runs the dispatcher until a graceful shutdown is complete, and then returns nil.
// An error says why the dispatcher could not start. It sets GOMAXPROCS to 1, since one
// goroutine owns all state and other programs share the machine. Durable queues raise it.
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
	go daemon.handleReloadSignals(env, caught.reload)
	go daemon.handleStopSignals(caught.stop)
	daemon.dispatcher.Loop.Run() // returns when the shutdown is complete
	daemon.closeStoreAndLogTotals()
	return nil
}

// newProcess creates the dispatcher, the registry, the worker client and the gate. It
// opens no socket.
func newProcess(files Files, loaded loadedFiles, log *slog.Logger) (*process, error) {
	fileConfig := loaded.config
	dispatcher, err := dispatch.New(eventloop.New(), loaded.settings, fileConfig.seed())
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	setUpLog(dispatcher, log, files.Trace)
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
	daemon.limitsInUse = handover.Limits{Descriptors: fileConfig.descriptors(), Memory: fileConfig.memory()}
	if err := daemon.applyOperator(log); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Operator, err)
	}
	return daemon, nil
}

// setUpLog makes a dispatcher log its messages, violated invariants and, if trace is set,
// the steps of each request.
func setUpLog(dispatcher *dispatch.Dispatcher, log *slog.Logger, trace bool) {
	dispatcher.Log = func(text string) { log.Info(text) }
	dispatcher.Guard.Report = func(rule invariant.Rule, subject string) {
		dispatcher.Log(fmt.Sprintf("invariant %v violated: %s", rule, subject))
	}
	if trace {
		dispatcher.Trace = func(id, step string, attributes ...any) { log.Info(step, append(attributes, "id", id)...) }
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

// start makes the process accept clients: at once if there is no predecessor, and
// otherwise once requests can be served.
func (p *process) start(predecessor net.Conn) {
	p.replacement.limitsTimer.Fire = p.sendLimits
	if predecessor != nil && p.startAsSuccessor(predecessor) == nil {
		return
	}
	p.replacement.greetingDone = true // no predecessor will send a greeting
	p.loadInitialList(nil)
	p.serve()
	p.listenForSuccessor()
}

// loadInitialList sets the endpoint list with which the process starts: the predecessor's
// or, if that is missing or invalid, the configuration's.
func (p *process) loadInitialList(predecessorList []byte) {
	if len(predecessorList) > 0 {
		err := p.registry.LoadInitial(predecessorList)
		if err == nil {
			return
		}
		p.logListError(err)
	}
	if err := p.registry.LoadInitial(p.config.Known); err != nil { // not expected: newProcess has checked the list
		p.dispatcher.Log(err.Error())
	}
}

// serve begins to accept clients.
func (p *process) serve() {
	p.phase = serving
	if p.frontEnds.http != nil {
		p.frontEnds.http.Serve(p.frontEnds.httpListener, p.frontEnds.maxClients)
	}
}
