package daemon

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/handover"
)

// This file has what a process does in both roles, as predecessor and as successor.

// replacement is the state of the replacement of one process by another. A process may be
// a successor first and a predecessor later, but never both at the same time.
type replacement struct {
	enabled     bool               // the listener is inherited from the platform, so that a successor can share it
	socketPath  string             // path of the handover socket
	link        *handover.Link     // to the peer process; nil if there is none
	limitsTimer eventloop.Deadline // when the next Limits message is due

	successorRole
	predecessorRole
}

// sendToPeer sends a message to the peer process, if there is one.
func (p *process) sendToPeer(message handover.Message) {
	if p.replacement.link != nil {
		p.replacement.link.Send(message)
	}
}

// shareWithPeer makes the dispatcher report each accepted request id and each slow-start
// reservation to the peer process, which must reject the same id and must not use the
// same slow-start capacity again.
func (p *process) shareWithPeer() {
	p.dispatcher.OnAccepted = p.replacement.link.SendAccepted
	p.dispatcher.OnReserved = func(worker string, amount float64) {
		p.sendToPeer(handover.Message{Reservation: &handover.Reservation{Worker: worker, Amount: amount}})
	}
}

// receiveFromPeer handles the fields of a message that either process may send.
func (p *process) receiveFromPeer(message handover.Message) {
	if message.IDs != "" {
		ids, err := message.ReadIDs()
		if err != nil {
			p.dispatcher.Log("handover: " + err.Error())
		}
		p.dispatcher.AddKnownIDs(ids)
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
		p.registry.ChangeAddress(message.DiscoveryMoved)
	}
}

// peerEnded makes this process work alone again: nothing is reported to a peer, and it uses
// all descriptors and memory.
func (p *process) peerEnded() {
	p.replacement.link = nil
	p.replacement.successorServing = false
	p.dispatcher.OnAccepted = nil
	p.dispatcher.OnReserved = nil
	p.registry.OnUpdate = nil
	p.dispatcher.Loop.Clear(&p.replacement.limitsTimer)
	p.useAllLimits()
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetListenerShared(false)
	}
}

// logListError logs why an endpoint list from the predecessor was not applied.
func (p *process) logListError(err error) {
	p.dispatcher.Log(fmt.Sprintf("handover: endpoint list: %v", err))
}
