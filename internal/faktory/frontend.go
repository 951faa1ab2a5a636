package faktory

import (
	"fmt"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FrontEnd is the front end as configured: either role, or both, with one memory
// of jids. A role that is off is nil. The zero value has neither role.
type FrontEnd struct {
	Server *Server
	Source *Source
}

// Open starts the roles that config names. gate decides which connections are
// admitted; without one, at most maxConnections are. On an error, what was
// opened is closed again.
func Open(dispatcher *dispatch.Dispatcher, engine *transport.Engine, config Config, maxConnections int, gate *listener.Gate) (front FrontEnd, err error) {
	jids := newJidMemory()
	if config.Listen != "" {
		front.Server = NewServer(dispatcher, engine, config.Password, jids)
		if gate != nil {
			front.Server.SetGate(gate)
		}
		if config.Durable.Path != "" {
			err := front.Server.EnableDurable(config.Durable)
			if err != nil {
				return front, err
			}
		}
		address, err := front.Server.Listen(config.Listen, maxConnections)
		if err != nil {
			front.Close() // releases the store's file
			return front, fmt.Errorf("listen: %w", err)
		}
		dispatcher.Log("faktory: listening on " + address)
	}
	if config.Source.Address != "" {
		front.Source = NewSource(dispatcher, engine, config, jids)
		front.Source.Start()
	}
	return front, nil
}

// Stop begins a graceful shutdown: nothing more is fetched from upstream, and
// no stored job is offered to workers any more.
func (f FrontEnd) Stop() {
	if f.Source != nil {
		f.Source.Stop()
	}
	if queues := f.durableQueues(); queues != nil {
		queues.scheduler.Stop()
	}
}

// DurableJobs returns the service of durable jobs, or nil if no queue is durable.
func (f FrontEnd) DurableJobs() *durable.Service {
	if queues := f.durableQueues(); queues != nil {
		return queues.Service
	}
	return nil
}

func (f FrontEnd) durableQueues() *durableQueues {
	if f.Server == nil {
		return nil
	}
	return f.Server.durable
}

// Release gives up the address and the store for a successor, and calls done
// once the successor may take both.
func (f FrontEnd) Release(done func()) {
	if f.durableQueues() == nil {
		done()
		return
	}
	f.Server.releaseDurable(done)
}

// Close closes the store. The front end must not be used after that.
func (f FrontEnd) Close() error {
	if queues := f.durableQueues(); queues != nil {
		return queues.Service.Close()
	}
	return nil
}

// Busy reports whether a delivery from upstream is not closed yet.
func (f FrontEnd) Busy() bool { return f.Source != nil && f.Source.Busy() > 0 }

// CloseIdle closes connections and lanes that have nothing pending, and reports
// whether none with something pending is left.
func (f FrontEnd) CloseIdle() bool {
	if f.Busy() {
		return false
	}
	if f.Source != nil {
		f.Source.Close()
	}
	if f.Server == nil {
		return true
	}
	f.Server.Close()
	return f.Server.ConnectionCount() == 0
}
