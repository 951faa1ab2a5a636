package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/admin"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file opens the front ends and the admin API.

// maxClients returns how many client connections each front end may have open.
func (l *loadedFiles) maxClients() int {
	share := transport.AcceptedDescriptors(l.config.connectionDescriptors())
	if l.hasFaktory && l.config.Listen != "" {
		return share / 2 // each of the two front ends gets half
	}
	return share
}

// openHTTP creates the HTTP front end and opens its listener, if it is on.
func (p *process) openHTTP(env func(string) string) (err error) {
	if p.config.Listen == "" {
		return nil
	}
	p.frontEnds.http = httpfront.New(p.dispatcher, p.engine, p.config.bufferMemory(), p.hasWorkers)
	if p.gate != nil {
		p.frontEnds.http.SetGate(p.gate)
	}
	p.frontEnds.httpListener, err = openListener(env, p.config.Listen)
	if err != nil {
		return err
	}
	p.dispatcher.Log("listening on " + p.frontEnds.httpListener.Addr().String())
	return nil
}

// hasWorkers reports whether the endpoint list is usable and has a worker that accepts
// requests.
func (p *process) hasWorkers() bool {
	if p.dispatcher.ReadyWorkers() == 0 && !p.registry.HasRunning() {
		return false
	}
	return p.registry.Usable()
}

// openListener returns the listener for clients: the inherited socket whose descriptor
// number the platform has set in the environment, or else a new one at addr.
func openListener(env func(string) string, addr string) (net.Listener, error) {
	text := env(envListenerDescriptor)
	if text == "" {
		opened, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("config: listen: %w", err)
		}
		return opened, nil
	}
	inherited, err := inheritListener(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %q: %w", envListenerDescriptor, text, err)
	}
	return inherited, nil
}

// inheritListener returns the listener on the inherited descriptor whose number is text.
func inheritListener(text string) (net.Listener, error) {
	descriptor, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	if descriptor < 0 {
		return nil, errors.New("descriptor number is negative")
	}
	return transport.ListenerFromDescriptor(descriptor)
}

// setUpFaktory opens the Faktory front end, if it is on. If there is a predecessor, which
// has the address and the store open, the front end is opened later, by takeOverFaktory.
func (p *process) setUpFaktory(hasPredecessor bool, log *slog.Logger) error {
	if !p.loaded.hasFaktory {
		return nil
	}
	faktoryConfig := p.loaded.faktory
	faktoryConfig.Durable.Log = log
	file := cmp.Or(p.files.Faktory, p.files.Operator)
	open := func() error { return p.openFaktory(faktoryConfig) }
	if !hasPredecessor {
		if err := open(); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		return nil
	}
	if err := faktoryConfig.CheckHandover(&p.dispatcher.Settings); err != nil {
		return fmt.Errorf("%s: the Faktory front end cannot be handed over, %w: end the running process first", file, err)
	}
	p.replacement.openFaktory = open
	if p.frontEnds.http != nil {
		p.frontEnds.http.SetDurable(nil, faktoryConfig.Durable.Classes(&p.dispatcher.Settings))
	}
	return nil
}

// openFaktory opens the Faktory front end, and gives the HTTP front end access to its
// durable jobs.
func (p *process) openFaktory(c faktory.Config) (err error) {
	if p.config.hasMemoryLimit() {
		c.Durable.MemoryLimit = jobMemory(p.limitsInUse.Memory)
	}
	p.frontEnds.faktory, err = faktory.Open(p.dispatcher, p.engine, c, p.frontEnds.maxClients, p.gate)
	if err != nil {
		return err
	}
	p.frontEnds.faktory.SetBufferLimit(p.config.bufferMemory())
	p.useLimits(p.limitsInUse.Descriptors, p.limitsInUse.Memory) // the jobs have a share of the memory
	service := p.frontEnds.faktory.DurableJobs()
	if service != nil && p.frontEnds.http != nil {
		p.frontEnds.http.SetDurable(service, c.Durable.Classes(&p.dispatcher.Settings))
	}
	return nil
}

// openAdmin opens the admin API, if it is on.
func (p *process) openAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	api := admin.New(p.dispatcher, p.engine, p.workers, admin.Operations{
		Ready:           p.ready,
		SetOutOfService: p.setOutOfService,
		Gate:            p.gate,
		Membership:      p.registry.Stats,
		Jobs:            func() *durable.Service { return p.frontEnds.faktory.DurableJobs() },
		JobsElsewhere:   func() bool { return p.replacement.openFaktory != nil },
	})
	addr, err := api.Listen(p.config.Admin)
	if err != nil {
		return fmt.Errorf("config: admin_addr: %w", err)
	}
	p.dispatcher.Log("admin API at " + addr)
	return nil
}
