// Package connlimit decides which client connections are admitted, which are evicted
// and whose bytes are processed next. It contains limits by address and by prefix, a
// reserve for trusted clients, an order of eviction for when capacity is short, a
// budget of descriptors with levels of pressure, and a round robin over addresses.
//
// It does no I/O, starts no goroutine and reads no clock. Methods get the time as an
// argument, so that the same calls with the same times lead to the same decisions.
//
// A client is trusted if its address is known, learned or a trusted proxy's; see Trust.
// A trusted client can always use its part of the reserve. The entry of an address that has
// connections is never removed to make room for a new one. A connection on which a
// response is owed is never evicted. The use of memory does not depend on the number
// of addresses seen.
package connlimit

import (
	"sync"
	"time"
)

// ID identifies a connection; 0 is not a valid ID. It contains the index of the
// connection and a generation, so that the ID of a closed connection is not used again
// for another one.
type ID uint64

// Token is the caller's identifier of a connection, which EvictionCandidate and
// NotBusyWithin return. A connection without a token cannot be evicted.
type Token uint64

// NoToken is passed to Admit if the token will be set later with SetToken.
const NoToken Token = 0

const generationShift = 32

func newID(index int32, generation uint32) ID {
	return ID(uint64(generation)<<generationShift | uint64(index+1))
}

// index returns the index of the connection, or noIndex for the ID 0.
func (id ID) index() int32 { return int32(uint32(id)) - 1 }

func (id ID) generation() uint32 { return uint32(id >> generationShift) }

// Limiter decides which connections are admitted and which are evicted. Its methods
// may be called from any goroutine; all of them hold the same lock.
type Limiter struct {
	mu       sync.Mutex // guards all fields
	config   Config
	known    prefixSet // set of Config.Known
	proxies  prefixSet // set of Config.TrustedProxies
	blocks   []block
	pressure Pressure

	// Addresses and prefixes of clients.
	epoch     time.Duration // the time at which ticks begin; 0 if not set yet
	addresses table
	prefixes  table

	// The connections, including closed ones, whose elements are reused.
	connections []conn
	firstFree   int32 // index of the first closed connection, linked by next; noIndex if there is none
	stageLists  [numTrustGroups][numStages]stageList

	// Counts of the open connections.
	openByTrust     [numTrusts]int
	silent          int // connections in the stage Silent
	openRetries     int // connections that were admitted as retries
	activeAddresses int // addresses that have connections counted as Unknown

	unknownRate gcra // rate limiter for Config.Rate

	// Counts since the start.
	rejections [NumReasons]uint64
	admitted   uint64
}

// conn is a connection.
type conn struct {
	token          Token
	generation     uint32
	address        int32 // index of the address's entry; noIndex if the connection is not counted for its address
	prefix         int32 // index of the prefix's entry, or noIndex
	previous, next int32 // neighbours in the stage's list
	trust          Trust
	stage          Stage
	listed         bool // the connection is in the list of its stage
	open           bool
	served         bool // a request on the connection was served
	halfRead       bool
	isRetry        bool  // the connection uses the capacity that is kept for retries
	hasToken       bool  // the token is set, so that the connection can be evicted
	bufferedBytes  int32 // buffered bytes of the half-read request
	stageSince     time.Duration
}

// counted reports whether the connection is counted for its address and prefix.
func (c *conn) counted() bool { return c.address != noIndex }

// New returns a Limiter. An error names the field of the configuration that is wrong.
func New(config Config) (*Limiter, error) {
	err := config.Check()
	if err != nil {
		return nil, err
	}
	limiter := &Limiter{firstFree: noIndex}
	for group := range limiter.stageLists {
		for stage := range limiter.stageLists[group] {
			limiter.stageLists[group][stage] = stageList{noIndex, noIndex}
		}
	}
	limiter.addresses.init(config.Addresses, config.Seed)
	limiter.prefixes.init(config.Prefixes, config.Seed)
	limiter.setConfig(config)
	return limiter, nil
}

// Reconfigure changes the configuration. Open connections stay open, even above the new
// limits. The sizes of the tables of addresses and prefixes do not change.
func (l *Limiter) Reconfigure(config Config) error {
	err := config.Check()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setConfig(config)
	return nil
}

func (l *Limiter) setConfig(config Config) {
	l.config = config
	l.known = newPrefixSet(config.Known)
	l.proxies = newPrefixSet(config.TrustedProxies)
}

// SetCapacity changes only the capacity, and lowers the reserve if it would otherwise
// leave no capacity for unknown addresses.
func (l *Limiter) SetCapacity(capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity = max(capacity, 1)
	l.config.Capacity = capacity
	l.config.Reserve = min(l.config.Reserve, capacity-1)
}

// SetPressure sets the level of pressure.
func (l *Limiter) SetPressure(level Pressure) {
	l.mu.Lock()
	l.pressure = level
	l.mu.Unlock()
}

// ticksAt converts a time to ticks, the unit that the tables use.
func (l *Limiter) ticksAt(now time.Duration) ticks {
	if l.epoch == 0 {
		l.epoch = max(now, 1)
	}
	return ticks((now-l.epoch)/tickLength) + 1
}

// add adds a connection that was admitted.
func (l *Limiter) add(now time.Duration, token Token, outcome decision) ID {
	index := l.allocate()
	connection := &l.connections[index]
	*connection = conn{
		token:      token,
		hasToken:   token != NoToken,
		generation: connection.generation,
		open:       true,
		address:    outcome.address,
		prefix:     outcome.prefix,
		trust:      outcome.trust,
		isRetry:    outcome.isRetry,
	}
	if connection.isRetry {
		l.openRetries++
	}
	l.openByTrust[connection.trust]++
	l.admitted++
	l.countOpen(connection, 1)
	l.countSilent(connection, 1)
	l.addToStage(index, Silent, now)
	return newID(index, connection.generation)
}

// allocate returns the index of an element of connections that is not in use.
func (l *Limiter) allocate() int32 {
	index := l.firstFree
	if index == noIndex {
		l.connections = append(l.connections, conn{generation: 1})
		return int32(len(l.connections) - 1)
	}
	l.firstFree = l.connections[index].next
	return index
}

// find returns the open connection with an ID and its index, or noIndex and nil if the
// connection is closed.
func (l *Limiter) find(id ID) (int32, *conn) {
	index := id.index()
	if index < 0 || int(index) >= len(l.connections) {
		return noIndex, nil
	}
	connection := &l.connections[index]
	if !connection.open || connection.generation != id.generation() {
		return noIndex, nil
	}
	return index, connection
}

// SetToken sets the token of a connection that was admitted without one.
func (l *Limiter) SetToken(id ID, token Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, connection := l.find(id)
	if connection != nil {
		connection.token = token
		connection.hasToken = true
	}
}

// Closed removes a connection. It does nothing if the connection was removed before.
func (l *Limiter) Closed(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil {
		return
	}
	l.clearHalfRead(connection)
	if connection.stage == Silent {
		l.countSilent(connection, -1)
	}
	l.removeFromStage(index)
	l.countOpen(connection, -1)
	l.openByTrust[connection.trust]--
	if connection.isRetry {
		l.openRetries--
	}
	connection.open = false
	connection.generation++
	connection.next = l.firstFree
	l.firstFree = index
}

// countOpen adds delta to the counts of open connections of a connection's address and
// prefix.
func (l *Limiter) countOpen(connection *conn, delta int32) {
	if !connection.counted() {
		return
	}
	if connection.trust == Unknown {
		entry := &l.addresses.entries[connection.address]
		entry.openUnknown += delta
		if delta > 0 && entry.openUnknown == 1 {
			l.activeAddresses++
		} else if delta < 0 && entry.openUnknown == 0 {
			l.activeAddresses--
		}
	}
	l.addresses.countOpen(connection.address, delta)
	l.prefixes.countOpen(connection.prefix, delta)
}

// countSilent adds delta to the counts of silent connections: the total, and those of a
// connection's address and prefix.
func (l *Limiter) countSilent(connection *conn, delta int32) {
	l.silent += int(delta)
	l.countOpening(connection, delta)
}

// countOpening adds delta to the opening counts of a connection's address and prefix,
// which are their numbers of silent connections.
func (l *Limiter) countOpening(connection *conn, delta int32) {
	if connection.counted() {
		address, prefix := l.entriesOf(connection)
		address.opening += delta
		prefix.opening += delta
	}
}

// entriesOf returns the entries of the address and prefix of a connection that is
// counted.
func (l *Limiter) entriesOf(connection *conn) (address, prefix *tableEntry) {
	return &l.addresses.entries[connection.address], &l.prefixes.entries[connection.prefix]
}
