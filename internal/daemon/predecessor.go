package daemon

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file is this process as the predecessor of another.

const (
	limitsInterval = 100 * time.Millisecond // between messages about the limits
	limitsReserve  = 8                      // descriptors that may be opened between two of them

	// handoverIdleTimeout is how long connections left to a successor may rest.
	handoverIdleTimeout = 1500 * time.Millisecond

	// The platform sends SIGKILL killDelay after the longest deadline of a class,
	// which counts as maxKillDeadline at most. What is still unanswered killMargin
	// before it is answered then.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 250 * time.Millisecond
)

// listenForSuccessor opens the handover socket, where the platform keeps the listener
// for a successor.
func (p *process) listenForSuccessor() {
	if !p.handover.enabled {
		return
	}
	ln, err := handover.Listen(p.handover.socketPath)
	if err != nil {
		p.dispatcher.Log(fmt.Sprintf("handover socket cannot be opened, a successor will not find this process: %v", err))
		return
	}
	options := transport.AcceptOptions{NewHandler: p.acceptSuccessor, Limit: 1}
	p.handover.acceptor = p.engine.Serve(ln, options).FixLimit()
}

// acceptSuccessor sends a successor the state of this process.
func (p *process) acceptSuccessor(connection *transport.Conn) transport.Handler {
	if p.stopping || p.handover.link != nil {
		return nil
	}
	discovery, list, err := p.registry.Export()
	if err != nil {
		p.dispatcher.Log(fmt.Sprintf("endpoint list cannot be handed over: %v", err))
	}
	idKey, ids := p.dispatcher.RequestIDs()
	p.dispatcher.Log("successor has connected")
	p.handover.link = handover.NewLink(p.engine, connection, p.receiveFromSuccessor, p.successorEnded)
	p.shareWithPeer()
	p.registry.OnUpdate = p.sendList
	p.sendToPeer(handover.Message{Greeting: &handover.Greeting{
		Discovery:    discovery,
		List:         list,
		OutOfService: p.frontEnds.http.Draining(),
		IDKey:        idKey,
	}})
	p.handover.link.SendIDs(ids)
	p.sendLimits()
	return p.handover.link
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
		p.handover.peerServing = true
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
// descriptors and the memory: most of them while the successor starts, half once it
// accepts clients, and in the end only what is in use.
func (p *process) sendLimits() {
	if p.handover.link == nil {
		return
	}
	used, resident := resourceUsage()
	used += limitsReserve
	descriptors := p.config.descriptors() * 3 / 4
	memory := p.config.memory() / 2
	switch {
	case p.stopping:
		descriptors = used
		memory = resident
	case p.handover.peerServing:
		descriptors = max(p.config.descriptors()/2, used)
	}
	memory = min(max(memory, resident), p.config.memory())
	if !p.stopping {
		p.useLimits(descriptors, memory)
	}
	p.sendToPeer(handover.Message{Limits: &handover.Limits{Descriptors: descriptors, Memory: memory}})
	p.dispatcher.Loop.Set(&p.handover.limitsTimer, p.dispatcher.Loop.Now()+limitsInterval)
}

// handOver ends this process beside a successor that accepts clients. Nothing is
// accepted any more, connections end with an answer, and only those that rest are
// closed. What is unanswered shortly before SIGKILL is answered then.
func (p *process) handOver() {
	began := p.dispatcher.Loop.Now()
	p.dispatcher.Log("handing over to the successor")
	p.frontEnds.http.HandOver()
	p.frontEnds.faktory.Stop()
	p.frontEnds.faktory.Release(func() {
		p.handover.storeReleased = true
		p.sendToPeer(handover.Message{StoreReleased: true})
	})
	p.sendLimits()
	p.handOverStep(began+handoverIdleTimeout, began+p.killTime()-killMargin)
}

// killTime returns after which time from SIGTERM the platform sends SIGKILL.
func (p *process) killTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.dispatcher.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDeadline) + killDelay
}

// handOverStep looks, every readyPoll, whether the process may exit. Resting
// connections are closed from idleAfter on, and all requests end at expireAt.
func (p *process) handOverStep(idleAfter, expireAt time.Duration) {
	loop := p.dispatcher.Loop
	now := loop.Now()
	if now >= idleAfter {
		p.frontEnds.closeIdle()
	}
	if now >= expireAt {
		p.frontEnds.http.StopReading()
		p.dispatcher.ExpireAll()
	}
	if p.handedOver(now, expireAt) {
		loop.After(flushTime, loop.Stop)
		return
	}
	loop.After(readyPoll, func() { p.handOverStep(idleAfter, expireAt) })
}

// handedOver reports whether nothing is left to do for a process that hands over.
// Clients have half of the margin before SIGKILL to read the last answers.
func (p *process) handedOver(now, expireAt time.Duration) bool {
	if !p.handover.storeReleased || p.dispatcher.Unanswered() > 0 || p.frontEnds.faktory.Busy() {
		return false
	}
	return p.frontEnds.http.OpenConnections() == 0 || now >= expireAt+killMargin/2
}
