package connlimit

import "net/netip"

// RoundRobin hands out tokens by turns of their addresses: each address has one
// turn a round, however many of its tokens wait. The zero value is empty. It
// belongs to one goroutine.
type RoundRobin struct {
	byAddress map[netip.Addr]*tokenQueue
	round     []*tokenQueue // the next turn first
	free      []*tokenQueue
	size      int
}

// tokenQueue is the tokens of one address, in the order of Add.
type tokenQueue struct {
	addr   netip.Addr
	tokens []uint64
}

// Add puts a token at the end of its address's queue.
func (r *RoundRobin) Add(addr netip.Addr, token uint64) {
	queue := r.byAddress[addr]
	if queue == nil {
		queue = r.addQueue(addr)
	}
	queue.tokens = append(queue.tokens, token)
	r.size++
}

// addQueue puts an address at the end of the round.
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

// Next removes and returns the first token of the address whose turn it is.
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

// removeFirst removes a slice's first element in place, so that it is not
// reallocated as it moves on.
func removeFirst[T any](slice *[]T) T {
	s := *slice
	first := s[0]
	copy(s, s[1:])
	*slice = s[:len(s)-1]
	return first
}

// Len returns how many tokens wait.
func (r *RoundRobin) Len() int { return r.size }
