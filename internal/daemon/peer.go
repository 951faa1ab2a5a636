package daemon

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/handover"
)

// This file is what a process does with its peer, whichever of them is the successor.

// replacement is the state of the replacement of one process by another. A process may
// be a successor first and a predecessor later, never both at a time.
type replacement struct {
	enabled     bool               // the listener is the platform's, and other processes have it
	socketPath  string             // of the handover socket
	link        *handover.Link     // to the peer process; nil: there is none
	limitsTimer eventloop.Deadline // for the next message about the limits

	successorRole
	predecessorRole
}

// sendToPeer sends a message to the peer process, if there is one.
func (p *process) sendToPeer(message handover.Message) {
	if p.replacement.link != nil {
		p.replacement.link.Send(message)
	}
}

// shareWithPeer reports accepted request ids and slow-start reservations to the peer
// process, which must not repeat them.
func (p *process) shareWithPeer() {
	p.dispatcher.OnAccepted = p.replacement.link.SendAccepted
	p.dispatcher.OnReserved = func(worker string, amount float64) {
		p.sendToPeer(handover.Message{Reservation: &handover.Reservation{Worker: worker, Amount: amount}})
	}
}

// receive handles the messages that either process may send.
func (p *process) receive(message handover.Message) {
	if message.IDs != "" {
		ids, err := message.ReadIDs()
		if err != nil {
			p.dispatcher.Log("handover: " + err.Error())
		}
		p.dispatcher.BlockIDs(ids)
	}
	if message.Reservation != nil {
		p.dispatcher.ReservedElsewhere(message.Reservation.Worker, message.Reservation.Amount)
	}
	if message.OutOfService != nil {
		p.setDraining(*message.OutOfService)
	}
	if message.DiscoveryMoved != "" && message.DiscoveryMoved != p.config.Discovery {
		p.dispatcher.Log("discovery moves to " + message.DiscoveryMoved + ", as the peer process says")
		p.config.Discovery = message.DiscoveryMoved
		p.registry.MoveTo(message.DiscoveryMoved)
	}
}

// peerEnded returns to a single process, which has all descriptors and memory.
func (p *process) peerEnded() {
	p.replacement.link = nil
	p.replacement.successorServing = false
	p.dispatcher.OnAccepted = nil
	p.dispatcher.OnReserved = nil
	p.registry.OnUpdate = nil
	p.dispatcher.Loop.Clear(&p.replacement.limitsTimer)
	p.useAllLimits()
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetShared(false)
	}
}

// logListError logs why an endpoint list from the predecessor is not used.
func (p *process) logListError(err error) {
	p.dispatcher.Log(fmt.Sprintf("handover: endpoint list: %v", err))
}
