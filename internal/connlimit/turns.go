package connlimit

import "net/netip"

// This file owns turns: whose bytes are looked at next where there are more
// than can be looked at once. Each address has one place in the round, however
// many connections wait behind it.

// RoundRobin is a round of addresses. The zero value is empty. It belongs to one goroutine.
type RoundRobin struct {
	waiting map[netip.Addr]*queue
	round   []*queue // the next first
	spare   []*queue
	len     int
}

type queue struct {
	addr   netip.Addr
	tokens []uint64
}

// Add puts a token at the end of its address's queue.
func (t *RoundRobin) Add(addr netip.Addr, token uint64) {
	if t.waiting == nil {
		t.waiting = map[netip.Addr]*queue{}
	}
	q := t.waiting[addr]
	if q == nil {
		if n := len(t.spare); n > 0 {
			q, t.spare = t.spare[n-1], t.spare[:n-1]
			q.addr = addr
		} else {
			q = &queue{addr: addr}
		}
		t.waiting[addr] = q
		t.round = append(t.round, q)
	}
	q.tokens = append(q.tokens, token)
	t.len++
}

// Next is the first token of the address whose turn it is.
func (t *RoundRobin) Next() (token uint64, ok bool) {
	if len(t.round) == 0 {
		return 0, false
	}
	q := t.round[0]
	copy(t.round, t.round[1:])
	t.round = t.round[:len(t.round)-1]
	token = q.tokens[0]
	copy(q.tokens, q.tokens[1:])
	if q.tokens = q.tokens[:len(q.tokens)-1]; len(q.tokens) > 0 {
		t.round = append(t.round, q)
	} else {
		delete(t.waiting, q.addr)
		t.spare = append(t.spare, q)
	}
	t.len--
	return token, true
}

// Len is how many tokens wait.
func (t *RoundRobin) Len() int { return t.len }
