package daemon

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file is this process as the predecessor of another. handover.go has its end.

const (
	limitsInterval = 100 * time.Millisecond // between messages about the limits
	limitsReserve  = 8                      // descriptors that may be opened between two of them
)

// predecessorRole is the state of a process that a successor may replace.
type predecessorRole struct {
	acceptor         *transport.Acceptor // of the handover socket; nil: no successor can connect
	successorServing bool                // the successor accepts clients
	storeReleased    bool                // the successor may open the store of durable jobs
}

// listenForSuccessor opens the handover socket, where the platform keeps the listener
// for a successor.
func (p *process) listenForSuccessor() {
	if !p.replacement.enabled {
		return
	}
	socket, err := handover.Listen(p.replacement.socketPath)
	if err != nil {
		p.dispatcher.Log(fmt.Sprintf("handover socket cannot be opened, a successor will not find this process: %v", err))
		return
	}
	options := transport.AcceptOptions{NewHandler: p.acceptSuccessor, Limit: 1}
	p.replacement.acceptor = p.engine.Serve(socket, options).FixLimit()
}

// closeHandoverSocket ends listenForSuccessor. A successor that is connected stays so.
func (p *process) closeHandoverSocket() {
	if p.replacement.acceptor != nil {
		p.replacement.acceptor.Close()
	}
}

// acceptSuccessor sends a successor the state of this process.
func (p *process) acceptSuccessor(connection *transport.Conn) transport.Handler {
	if p.phase == stopping || p.replacement.link != nil {
		return nil
	}
	discovery, list, err := p.registry.Export()
	if err != nil {
		p.dispatcher.Log(fmt.Sprintf("endpoint list cannot be handed over: %v", err))
	}
	idKey, ids := p.dispatcher.RequestIDs()
	p.dispatcher.Log("successor has connected")
	p.replacement.link = handover.NewLink(p.engine, connection, p.receiveFromSuccessor, p.successorEnded)
	p.shareWithPeer()
	p.registry.OnUpdate = p.sendList
	p.sendToPeer(handover.Message{Greeting: &handover.Greeting{
		Discovery:    discovery,
		List:         list,
		OutOfService: p.frontEnds.http.Draining(),
		IDKey:        idKey,
	}})
	p.replacement.link.SendIDs(ids)
	p.sendLimits()
	return p.replacement.link
}

// sendList sends the successor the endpoint list in force.
func (p *process) sendList() {
	_, list, err := p.registry.Export()
	if err == nil {
		p.sendToPeer(handover.Message{List: list})
	}
}

// receiveFromSuccessor handles a message of the successor.
func (p *process) receiveFromSuccessor(message handover.Message) {
	p.receive(message)
	if message.Ready {
		p.dispatcher.Log("successor is accepting clients")
		p.replacement.successorServing = true
		p.frontEnds.http.SetShared(true)
		p.sendLimits()
	}
}

// successorEnded is called when the successor has ended.
func (p *process) successorEnded() {
	p.dispatcher.Log("successor has ended")
	p.peerEnded()
}

// sendLimits reports to the successor, at intervals, what this process uses of the
// descriptors and the memory, and keeps to it unless it is stopping.
func (p *process) sendLimits() {
	if p.replacement.link == nil {
		return
	}
	limits := p.ownLimits()
	if p.phase != stopping {
		p.useLimits(limits.Descriptors, limits.Memory)
	}
	p.sendToPeer(handover.Message{Limits: &limits})
	p.dispatcher.Loop.Set(&p.replacement.limitsTimer, p.dispatcher.Loop.Now()+limitsInterval)
}

// ownLimits returns what this process uses beside its successor: most of the
// descriptors while the successor starts, half once it accepts clients, and in the end
// only what is in use.
func (p *process) ownLimits() handover.Limits {
	used, resident := resourceUsage()
	used += limitsReserve
	descriptors := p.config.descriptors() * 3 / 4
	memory := p.config.memory() / 2
	switch {
	case p.phase == stopping:
		descriptors = used
		memory = resident
	case p.replacement.successorServing:
		descriptors = max(p.config.descriptors()/2, used)
	}
	memory = min(max(memory, resident), p.config.memory())
	return handover.Limits{Descriptors: descriptors, Memory: memory}
}
