package daemon

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/handover"
)

// sendToPeer sends a message to the peer process, if there is one.
func (p *process) sendToPeer(m handover.Message) {
	if p.handover.link != nil {
		p.handover.link.Send(m)
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
func (p *process) receive(m handover.Message) {
	if m.IDs != "" {
		ids, err := m.ReadIDs()
		if err != nil {
			p.dispatcher.Log("handover: " + err.Error())
		}
		p.dispatcher.BlockIDs(ids)
	}
	if m.Reservation != nil {
		p.dispatcher.ReservedElsewhere(m.Reservation.Worker, m.Reservation.Amount)
	}
	if m.OutOfService != nil {
		p.drain(*m.OutOfService)
	}
	if m.DiscoveryMoved != "" && m.DiscoveryMoved != p.config.Discovery {
		p.dispatcher.Log("discovery moves to " + m.DiscoveryMoved + ", as the peer process says")
		p.config.Discovery = m.DiscoveryMoved
		p.registry.MoveTo(m.DiscoveryMoved)
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
