package daemon

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file has what this process does as the successor of another.

const (
	dialTimeout     = 300 * time.Millisecond // for connecting to the predecessor
	greetingTimeout = time.Second            // for receiving the predecessor's greeting
	workersTimeout  = 3 * time.Second        // after it, clients are accepted even if no worker is ready
	readyPoll       = 10 * time.Millisecond  // between checks whether clients can be accepted

	takeoverTimeout = 10 * time.Second      // for the predecessor's Faktory address and store to become free
	takeoverPoll    = 20 * time.Millisecond // between attempts to open them
)

// successorRole is the state of a process that replaces a predecessor.
type successorRole struct {
	greetingDone bool         // the greeting was received, or is not waited for any more
	openFaktory  func() error // opens the Faktory front end that the predecessor holds; nil if there is none to open
}

// dialPredecessor connects to the process that this one is to replace, and returns nil if
// there is none.
func (p *process) dialPredecessor(env func(string) string) net.Conn {
	p.replacement.enabled = env(envListenerDescriptor) != "" && p.frontEnds.httpListener != nil
	if !p.replacement.enabled {
		return nil
	}
	p.replacement.socketPath = handover.SocketPath(env(envRuntimeDirectory), p.config.Name+" "+p.config.Listen)
	conn, err := handover.Dial(p.replacement.socketPath, dialTimeout)
	if err != nil {
		return nil
	}
	return conn
}

// startAsSuccessor makes a link of the connection to the predecessor, and limits this
// process to a quarter of the resources. The start goes on in handleGreeting. If it
// returns an error, nothing has changed.
func (p *process) startAsSuccessor(predecessor net.Conn) error {
	p.useLimits(p.config.descriptors()/4, p.config.memory()/4)
	err := p.engine.Adopt(predecessor, func(c *transport.Conn) transport.Handler {
		p.replacement.link = handover.NewLink(p.engine, c, p.receiveFromPredecessor, p.predecessorEnded)
		p.shareWithPeer()
		return p.replacement.link
	})
	if err != nil {
		p.useAllLimits()
		return err
	}
	p.dispatcher.Loop.After(greetingTimeout, func() { p.handleGreeting(nil) })
	return nil
}

// receiveFromPredecessor handles a message of the predecessor.
func (p *process) receiveFromPredecessor(message handover.Message) {
	if message.Greeting != nil {
		p.handleGreeting(message.Greeting)
	}
	p.receiveFromPeer(message)
	if message.StoreReleased {
		p.takeOverFaktory(p.dispatcher.Loop.Now() + takeoverTimeout)
	}
	if message.Limits != nil {
		p.useLimits(p.config.descriptors()-message.Limits.Descriptors, p.config.memory()-message.Limits.Memory)
	}
	if len(message.List) > 0 {
		if err := p.registry.Import(message.List); err != nil {
			p.logListError(err)
		}
	}
}

// handleGreeting continues the start with the state of the predecessor. A nil greeting
// means that the predecessor has ended or has sent none in time; the start then continues
// without its state. Only the first call has an effect.
func (p *process) handleGreeting(greeting *handover.Greeting) {
	if p.replacement.greetingDone {
		return
	}
	p.replacement.greetingDone = true
	var list []byte
	if greeting != nil {
		p.dispatcher.Log("started as the successor of a running process")
		p.dispatcher.AdoptIDKey(greeting.IDKey)
		list = greeting.List
		p.config.Discovery = cmp.Or(greeting.Discovery, p.config.Discovery)
		p.registry.SetAddress(p.config.Discovery)
		if greeting.OutOfService {
			p.setDraining(true)
		}
	}
	p.loadInitialList(list)
	p.serveWhenReady(p.dispatcher.Loop.Now() + workersTimeout)
}

// serveWhenReady accepts clients once discovery has answered and a worker is ready, or at
// the loop time latest with the initial endpoint list. Until then the predecessor serves.
func (p *process) serveWhenReady(latest time.Duration) {
	if p.phase == stopping {
		return
	}
	loop := p.dispatcher.Loop
	ready := p.registry.Ready() && p.dispatcher.ReadyWorkers() > 0
	if !ready && loop.Now() < latest {
		loop.After(readyPoll, func() { p.serveWhenReady(latest) })
		return
	}
	if p.replacement.link != nil {
		p.frontEnds.http.SetListenerShared(true)
	}
	p.serve()
	p.dispatcher.Log("accepting clients")
	p.sendToPeer(handover.Message{Ready: true})
}

// predecessorEnded is called when the link to the predecessor has ended, after a handover
// or because it has crashed.
func (p *process) predecessorEnded() {
	p.dispatcher.Log("predecessor has ended")
	p.peerEnded()
	p.takeOverFaktory(p.dispatcher.Loop.Now() + takeoverTimeout)
	p.handleGreeting(nil)
	if p.phase != stopping {
		p.listenForSuccessor()
	}
}

// takeOverFaktory opens the Faktory front end that the predecessor has released. While its
// address or its store is still in use it tries again, until the loop time latest. A process
// that is ending leaves it to the next one.
func (p *process) takeOverFaktory(latest time.Duration) {
	if p.replacement.openFaktory == nil || p.phase == stopping {
		return
	}
	loop := p.dispatcher.Loop
	err := p.replacement.openFaktory()
	switch {
	case err == nil:
		p.replacement.openFaktory = nil
		p.dispatcher.Log("durable jobs taken over")
	case loop.Now() < latest:
		loop.After(takeoverPoll, func() { p.takeOverFaktory(latest) })
	default:
		p.dispatcher.Log(fmt.Sprintf("durable jobs cannot be taken over, restart the process: %v", err))
	}
}
