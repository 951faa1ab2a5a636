package daemon

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file has what this process does as the predecessor of another. Its shutdown in this
// role is in handover.go.

const (
	limitsInterval = 100 * time.Millisecond // between two Limits messages
	limitsReserve  = 8                      // descriptors that may be opened between two Limits messages
)

// predecessorRole is the state of a process that a successor may replace.
type predecessorRole struct {
	acceptor         *transport.Acceptor // of the handover socket; nil if no successor can connect
	successorServing bool                // the successor accepts clients
	storeReleased    bool                // the successor may open the store of durable jobs
}

// listenForSuccessor opens the handover socket, if the listener is inherited from the
// platform and a successor can share it.
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

// closeHandoverSocket accepts no more successors. The link to one that has connected stays
// open.
func (p *process) closeHandoverSocket() {
	if p.replacement.acceptor != nil {
		p.replacement.acceptor.Close()
	}
}

// acceptSuccessor makes a link of a successor's connection and sends it the state of this
// process: the greeting, the accepted request ids and the limits. It rejects the connection
// during a shutdown, or if there is a peer process already.
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
	p.receiveFromPeer(message)
	if message.Ready {
		p.dispatcher.Log("successor is accepting clients")
		p.replacement.successorServing = true
		p.frontEnds.http.SetListenerShared(true)
		p.sendLimits()
	}
}

// successorEnded is called when the link to the successor has ended.
func (p *process) successorEnded() {
	p.dispatcher.Log("successor has ended")
	p.peerEnded()
}

// sendLimits tells the successor how many descriptors and how much memory this process
// uses, and sets the timer to do so again after limitsInterval. Unless this process is
// stopping, it also applies these numbers as its own limits.
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

// ownLimits returns what this process may use while it has a successor: three quarters of
// the descriptors while the successor starts, half once it accepts clients, and during the
// shutdown only what is in use. Of the memory it is half, and during the shutdown what is
// resident. It is never less than what is in use.
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
