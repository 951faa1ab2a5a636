package connlimit

import "net/netip"

// RoundRobin is a queue of tokens with fairness between addresses: in each round every
// address gets one turn, however many of its tokens are waiting. The zero value is
// empty. A RoundRobin must be used by one goroutine only.
type RoundRobin struct {
	byAddress map[netip.Addr]*tokenQueue
	round     []*tokenQueue // queues with waiting tokens, in the order of their turns
	free      []*tokenQueue // empty queues for reuse
	size      int           // number of waiting tokens
}

// tokenQueue contains the tokens of one address, in the order in which they were added.
type tokenQueue struct {
	addr   netip.Addr
	tokens []uint64
}

// Add adds a token to the end of an address's queue.
func (r *RoundRobin) Add(addr netip.Addr, token uint64) {
	queue := r.byAddress[addr]
	if queue == nil {
		queue = r.addQueue(addr)
	}
	queue.tokens = append(queue.tokens, token)
	r.size++
}

// addQueue adds an empty queue for an address to the end of the round.
func (r *RoundRobin) addQueue(addr netip.Addr) *tokenQueue {
	if r.byAddress == nil {
		r.byAddress = map[netip.Addr]*tokenQueue{}
	}
	var queue *tokenQueue
	if last := len(r.free) - 1; last >= 0 {
		queue = r.free[last]
		r.free = r.free[:last]
	} else {
		queue = &tokenQueue{}
	}
	queue.addr = addr
	r.byAddress[addr] = queue
	r.round = append(r.round, queue)
	return queue
}

// Next removes and returns the first token of the address whose turn it is. ok is false
// if no token is waiting.
func (r *RoundRobin) Next() (token uint64, ok bool) {
	if len(r.round) == 0 {
		return 0, false
	}
	queue := removeFirst(&r.round)
	token = removeFirst(&queue.tokens)
	if len(queue.tokens) > 0 {
		r.round = append(r.round, queue)
	} else {
		delete(r.byAddress, queue.addr)
		r.free = append(r.free, queue)
	}
	r.size--
	return token, true
}

// removeFirst removes the first element of a slice in place and returns it. The slice
// keeps its start, so that later appends do not reallocate it.
func removeFirst[T any](slice *[]T) T {
	s := *slice
	first := s[0]
	copy(s, s[1:])
	*slice = s[:len(s)-1]
	return first
}

// Len returns the number of waiting tokens.
func (r *RoundRobin) Len() int { return r.size }
