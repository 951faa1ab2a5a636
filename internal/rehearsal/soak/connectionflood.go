package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	minFloodConnections = 300
	maxFloodConnections = 700

	// floodSpread is the time over which the connections of a flood are opened if they are not opened at once.
	floodSpread = 400 * time.Millisecond

	shortDeadlineClients  = 24 // during a flood
	shortDeadline         = 400 * time.Millisecond
	shortDeadlineInterval = 40 * time.Millisecond // between two of these clients
)

// floodConnections fills a dispatcher's descriptors with connections on which nothing is sent. They are opened at once or
// one by one. In the meantime, clients with a short deadline send requests.
func (r *run) floodConnections(ctx context.Context, number int, injected fault) {
	target := r.daemons[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	defer target.beginInterval(&target.floods)()
	silent := silentConnections{address: target.address}
	defer silent.closeAll()
	var clients sync.WaitGroup
	defer clients.Wait()
	clients.Go(func() { silent.open(injected.floodConnections, injected.oneByOne) })
	for i := range shortDeadlineClients {
		plan := clientPlan{newConnection: i%2 == 0, request: request{
			id:      fmt.Sprintf("%s%s-hurried-%d-%02d", r.idPrefix, target.name, number, i),
			class:   classStatusCheck,
			daemon:  target,
			timeout: shortDeadline,
		}}
		clients.Go(func() { r.runClient(plan) })
		sleep(ctx, shortDeadlineInterval)
	}
	sleep(ctx, injected.duration)
}

// silentConnections are connections to a dispatcher on which nothing is sent.
type silentConnections struct {
	address string
	mutex   sync.Mutex
	conns   []net.Conn
}

// open opens connections, either all at once or one by one over floodSpread.
func (s *silentConnections) open(count int, oneByOne bool) {
	var opened sync.WaitGroup
	defer opened.Wait()
	for range count {
		opened.Go(s.openOne)
		if oneByOne {
			time.Sleep(floodSpread / time.Duration(count))
		}
	}
}

// openOne opens one connection. If that fails, the flood has one connection less.
func (s *silentConnections) openOne() {
	conn, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns = append(s.conns, conn)
}

// closeAll closes the connections.
func (s *silentConnections) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}
