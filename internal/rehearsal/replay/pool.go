package replay

import "sync"

// maxIdleConnections is the largest number of idle connections; further ones are closed.
const maxIdleConnections = 4096

// pool holds the idle connections. It is safe for concurrent use.
type pool struct {
	mutex sync.Mutex
	idle  []*connection
}

// take removes and returns the connection that became idle last, or returns nil if there is none.
func (p *pool) take() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	taken := p.idle[last]
	p.idle = p.idle[:last]
	return taken
}

// put adds a connection that has become idle, or closes it if the pool is full.
func (p *pool) put(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) >= maxIdleConnections {
		c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// remove removes a connection that has ended, if it is idle.
func (p *pool) remove(ended *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, c := range p.idle {
		if c == ended {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeAll closes the idle connections.
func (p *pool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
	}
}
