package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	minCrowd = 300 // connections
	maxCrowd = 700

	// crowdSpread is the time over which a crowd comes that does not come at once.
	crowdSpread = 400 * time.Millisecond

	hurriedClients  = 24 // beside a crowd
	hurriedTimeLeft = 400 * time.Millisecond
	hurriedPause    = 40 * time.Millisecond // between two of them
)

// crowd fills a dispatcher's descriptors with connections that send nothing, at once or one by one, while clients with
// little time left ask.
func (r *run) crowd(ctx context.Context, number int, injected fault) {
	target := r.daemons[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	defer target.begin(&target.crowds)()
	silent := silentConnections{address: target.address}
	defer silent.closeAll()
	var clients sync.WaitGroup
	defer clients.Wait()
	clients.Go(func() { silent.open(injected.crowd, injected.oneByOne) })
	for i := range hurriedClients {
		plan := clientPlan{newConnection: i%2 == 0, request: request{
			id:      fmt.Sprintf("%s%s-hurried-%d-%02d", r.idPrefix, target.name, number, i),
			class:   classStatusCheck,
			daemon:  target,
			timeout: hurriedTimeLeft,
		}}
		clients.Go(func() { r.runClient(plan) })
		sleep(ctx, hurriedPause)
	}
	sleep(ctx, injected.duration)
}

// silentConnections are connections on which nothing is sent.
type silentConnections struct {
	address string
	mutex   sync.Mutex
	conns   []net.Conn
}

// open opens connections, all at once or over a time.
func (s *silentConnections) open(count int, oneByOne bool) {
	var opened sync.WaitGroup
	defer opened.Wait()
	for range count {
		opened.Go(s.openOne)
		if oneByOne {
			time.Sleep(crowdSpread / time.Duration(count))
		}
	}
}

// openOne opens one connection. One that cannot be opened is missing from the crowd.
func (s *silentConnections) openOne() {
	conn, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns = append(s.conns, conn)
}

// closeAll closes them.
func (s *silentConnections) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}
