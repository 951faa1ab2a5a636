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
	q := r.byAddress[addr]
	if q == nil {
		q = r.addQueue(addr)
	}
	q.tokens = append(q.tokens, token)
	r.size++
}

// addQueue puts an address at the end of the round.
func (r *RoundRobin) addQueue(addr netip.Addr) *tokenQueue {
	if r.byAddress == nil {
		r.byAddress = map[netip.Addr]*tokenQueue{}
	}
	var q *tokenQueue
	if last := len(r.free) - 1; last >= 0 {
		q = r.free[last]
		r.free = r.free[:last]
	} else {
		q = &tokenQueue{}
	}
	q.addr = addr
	r.byAddress[addr] = q
	r.round = append(r.round, q)
	return q
}

// Next removes and returns the first token of the address whose turn it is.
func (r *RoundRobin) Next() (token uint64, ok bool) {
	if len(r.round) == 0 {
		return 0, false
	}
	q := removeFirst(&r.round)
	token = removeFirst(&q.tokens)
	if len(q.tokens) > 0 {
		r.round = append(r.round, q)
	} else {
		delete(r.byAddress, q.addr)
		r.free = append(r.free, q)
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
