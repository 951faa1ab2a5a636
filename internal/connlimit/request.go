package connlimit

import "time"

// RequestStarted records that the first byte of a request has arrived. If the request
// exceeds a limit, the reason is not Allowed, but the request is still counted.
func (l *Limiter) RequestStarted(now time.Duration, id ID) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil || connection.halfRead {
		return Allowed
	}
	l.setStage(index, HalfRead, now)
	connection.halfRead = true
	if !connection.counted() {
		return Allowed
	}
	address, prefix := l.entriesOf(connection)
	address.halfRead++
	prefix.halfRead++
	if connection.trust == Known {
		return Allowed
	}
	switch {
	case exceeds(address.halfRead, l.config.Address.HalfRead):
		return l.reject(AddressHalfRead)
	case exceeds(prefix.halfRead, l.config.Prefix.HalfRead):
		return l.reject(PrefixHalfRead)
	}
	return Allowed
}

// SetBuffered records the number of buffered bytes of a half-read request. If they
// exceed a limit, the reason is not Allowed, but the bytes are still counted.
func (l *Limiter) SetBuffered(id ID, bytes int) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, connection := l.find(id)
	if connection == nil || !connection.counted() {
		return Allowed
	}
	address, prefix := l.entriesOf(connection)
	added := int32(bytes) - connection.bufferedBytes
	connection.bufferedBytes = int32(bytes)
	address.bufferedBytes += added
	prefix.bufferedBytes += added
	if connection.trust == Known || added <= 0 {
		return Allowed
	}
	switch {
	case exceeds(address.bufferedBytes, l.config.Address.Bytes):
		return l.reject(AddressBytes)
	case exceeds(prefix.bufferedBytes, l.config.Prefix.Bytes):
		return l.reject(PrefixBytes)
	}
	return Allowed
}

// exceeds reports whether a count is above a limit. A limit of 0 means that there is no
// limit.
func exceeds(count int32, limit int) bool { return limit > 0 && int(count) > limit }

// clearHalfRead removes a connection's half-read request, if there is one, from the
// counts.
func (l *Limiter) clearHalfRead(connection *conn) {
	if connection.counted() {
		address, prefix := l.entriesOf(connection)
		if connection.halfRead {
			address.halfRead--
			prefix.halfRead--
		}
		address.bufferedBytes -= connection.bufferedBytes
		prefix.bufferedBytes -= connection.bufferedBytes
	}
	connection.halfRead = false
	connection.bufferedBytes = 0
}

// RequestComplete records that a request has arrived completely and a response is owed.
func (l *Limiter) RequestComplete(now time.Duration, id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil {
		return
	}
	l.clearHalfRead(connection)
	l.setStage(index, Busy, now)
}

// BecameIdle records that no response is owed on a connection and no byte of another
// request has arrived. served is true if a request on the connection was served just
// now.
func (l *Limiter) BecameIdle(now time.Duration, id ID, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil {
		return
	}
	l.clearHalfRead(connection)
	if served {
		connection.served = true
		l.countServed(now, connection)
	}
	stage := Unserved
	if connection.served {
		stage = Proven
	}
	l.setStage(index, stage, now)
}

// TooSlow reports whether a request arrives more slowly than Config.MinRate. since is
// the time at which its first byte arrived, and bytes is how many have arrived so far. If
// the request is not too slow, checkAgain is the time at which it must be checked again,
// or 0 if there is no minimum rate.
func (l *Limiter) TooSlow(now, since time.Duration, bytes int) (slow bool, checkAgain time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config.MinRate <= 0 {
		return false, 0
	}
	timeForBytes := time.Duration(float64(bytes) / l.config.MinRate * float64(time.Second))
	due := since + max(l.config.RateGrace, timeForBytes)
	if now >= due {
		return true, 0
	}
	return false, due
}
