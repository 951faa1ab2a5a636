package daemon

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/handover"
)

// sendToPeer sends a message to the peer process, if there is one.
func (p *process) sendToPeer(message handover.Message) {
	if p.handover.link != nil {
		p.handover.link.Send(message)
	}
}

// shareWithPeer reports accepted request ids and slow-start reservations to the peer
// process, which must not repeat them.
func (p *process) shareWithPeer() {
	p.dispatcher.OnAccepted = p.handover.link.SendAccepted
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
		p.drain(*message.OutOfService)
	}
	if message.DiscoveryMoved != "" && message.DiscoveryMoved != p.config.Discovery {
		p.dispatcher.Log("discovery moves to " + message.DiscoveryMoved + ", as the peer process says")
		p.config.Discovery = message.DiscoveryMoved
		p.registry.MoveTo(message.DiscoveryMoved)
	}
}

// peerEnded returns to a single process, which has all descriptors and memory.
func (p *process) peerEnded() {
	p.handover.link = nil
	p.handover.peerServing = false
	p.dispatcher.OnAccepted = nil
	p.dispatcher.OnReserved = nil
	p.registry.OnUpdate = nil
	p.dispatcher.Loop.Clear(&p.handover.limitsTimer)
	p.useAllLimits()
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetShared(false)
	}
}

// logListError logs why an endpoint list from the predecessor is not used.
func (p *process) logListError(err error) {
	p.dispatcher.Log(fmt.Sprintf("handover: endpoint list: %v", err))
}
