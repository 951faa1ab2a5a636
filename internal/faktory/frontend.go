package faktory

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FrontEnd is the configured front end: either role, or both, which then share a
// jidMemory. A role that is off is nil. The zero value has neither role.
type FrontEnd struct {
	Server *Server
	Source *Source
}

// Open starts the roles that are configured. gate decides which connections are
// admitted; if it is nil, at most maxConnections are. After an error nothing is
// left open.
func Open(dispatcher *dispatch.Dispatcher, engine *transport.Engine, config Config, maxConnections int, gate *listener.Gate) (frontEnd FrontEnd, err error) {
	jids := newJidMemory()
	if config.Listen != "" {
		frontEnd.Server = NewServer(dispatcher, engine, config.Password, jids)
		if gate != nil {
			frontEnd.Server.SetGate(gate)
		}
		if config.Durable.Path != "" {
			err := frontEnd.Server.EnableDurable(config.Durable)
			if err != nil {
				return frontEnd, err
			}
		}
		address, err := frontEnd.Server.Listen(config.Listen, maxConnections)
		if err != nil {
			frontEnd.Close() // closes the store's file
			return frontEnd, fmt.Errorf("listen: %w", err)
		}
		dispatcher.Log("faktory: listening on " + address)
	}
	if config.Source.Address != "" {
		frontEnd.Source = NewSource(dispatcher, engine, config, jids)
		frontEnd.Source.Start()
	}
	return frontEnd, nil
}

// Stop begins a graceful shutdown: no more jobs are fetched from upstream, and no
// more stored jobs are passed to the dispatcher.
func (f FrontEnd) Stop() {
	if f.Source != nil {
		f.Source.Stop()
	}
	if queues := f.durableQueues(); queues != nil {
		queues.scheduler.Stop()
	}
}

// StopReadingAt is the irreversible step of a shutdown. Jobs that arrived by the clock
// time due are accepted, later ones are not; workers are still read.
func (f FrontEnd) StopReadingAt(due time.Duration) {
	if f.Source != nil {
		f.Source.StopAccepting()
	}
	if f.Server != nil {
		f.Server.StopReadingAt(due)
	}
}

// SetBufferLimit sets how many bytes buffers may take up before the server role refuses
// incomplete commands.
func (f FrontEnd) SetBufferLimit(limit int) {
	if f.Server != nil {
		f.Server.SetBufferLimit(limit)
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

// Release closes the listening socket, all connections and the store, so that a
// successor can open them, and then calls done. Commands that wait for the store
// are answered by the loop time answerBy. Without durable queues it only calls
// done.
func (f FrontEnd) Release(answerBy time.Duration, done func()) {
	if f.durableQueues() == nil {
		done()
		return
	}
	f.Server.releaseDurable(answerBy, done)
}

// CloseStore closes the store while the loop runs, as durable.Service.Close does, and
// then calls done. Without durable queues it only calls done.
func (f FrontEnd) CloseStore(answerBy time.Duration, done func()) {
	if f.durableQueues() == nil {
		done()
		return
	}
	f.Server.closeStore(answerBy, done)
}

// Close closes the store if it is still open. The loop must not run, and the front
// end must not be used after that.
func (f FrontEnd) Close() error {
	if queues := f.durableQueues(); queues != nil {
		return queues.Service.CloseNow()
	}
	return nil
}

// Busy reports whether a delivery from upstream is in progress or being fetched.
func (f FrontEnd) Busy() bool { return f.Source != nil && f.Source.Busy() > 0 }

// CloseIdle closes the lanes once no delivery from upstream is in progress, and
// then the connections that have nothing pending. It reports whether all are
// closed.
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
	return f.Server.CloseIdleConnections()
}
