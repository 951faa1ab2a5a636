// Package connlimit decides which client connections are admitted, which stay and
// whose bytes are processed next. It has limits by address and by prefix, a reserve
// for trusted clients, an order of eviction for when capacity runs short, a budget of
// descriptors with levels of pressure, and a round robin of addresses.
//
// It does no I/O, starts no goroutine and reads no clock: methods take the time as
// an argument, and given the same calls and times they decide the same.
//
// A trusted client always gets what its reserve holds. An address that has
// connections is never forgotten for new ones, and a connection on which an answer
// is owed is never evicted. Memory does not grow with the number of addresses seen.
package connlimit

import (
	"sync"
	"time"
)

// ID identifies a connection; 0 is none. It holds the connection's index and a
// generation, so that the ID of a closed connection is never that of another.
type ID uint64

// Token is the caller's own name for a connection, by which EvictionCandidate and
// IdleWithin return it. A connection without one cannot be evicted.
type Token uint64

// NoToken is what Admit is given where SetToken follows.
const NoToken Token = 0

const generationShift = 32

func newID(index int32, generation uint32) ID {
	return ID(uint64(generation)<<generationShift | uint64(index+1))
}

// index returns the connection's index; noIndex for 0.
func (id ID) index() int32 { return int32(uint32(id)) - 1 }

func (id ID) generation() uint32 { return uint32(id >> generationShift) }

// Limiter decides on connections. Its methods may be called from any goroutine;
// each holds one lock.
type Limiter struct {
	mu       sync.Mutex // guards all
	config   Config
	known    prefixSet // of Config.Known
	proxies  prefixSet // of Config.TrustedProxies
	blocks   []block
	pressure Pressure

	// What is remembered of clients.
	epoch     time.Duration // when ticks begin; 0: not set yet
	addresses table
	prefixes  table

	// The connections, closed ones among them, whose places are used again.
	connections []conn
	firstFree   int32 // linked by next; noIndex: none
	stageLists  [numSides][numStages]stageList

	// Counts of the open connections.
	openByTrust     [numTrusts]int
	silent          int // in the stage Silent
	openRetries     int // admitted as retries
	activeAddresses int // addresses with connections that count as unknown

	unknownRate gcra // of Config.Rate

	// Counts since the start.
	rejections [NumReasons]uint64
	admitted   uint64
}

// conn is a connection.
type conn struct {
	token          Token
	generation     uint32
	address        int32 // index of its entry; noIndex: its address is not counted
	prefix         int32
	previous, next int32 // of its stage's list
	trust          Trust
	stage          Stage
	listed         bool // it is in a stage's list
	open           bool
	served         bool // a request of it was served
	halfRead       bool
	isRetry        bool  // it was admitted on the part for retries
	hasToken       bool  // the caller has set the token, so that it can be evicted
	bufferedBytes  int32 // of its half-read request
	stageSince     time.Duration
}

// counted reports whether the connection counts for its address and prefix.
func (c *conn) counted() bool { return c.address != noIndex }

// New returns a Limiter. An error names the field of the configuration that is wrong.
func New(config Config) (*Limiter, error) {
	err := config.Check()
	if err != nil {
		return nil, err
	}
	limiter := &Limiter{firstFree: noIndex}
	for side := range limiter.stageLists {
		for stage := range limiter.stageLists[side] {
			limiter.stageLists[side][stage] = stageList{noIndex, noIndex}
		}
	}
	limiter.addresses.init(config.Addresses, config.Seed)
	limiter.prefixes.init(config.Prefixes, config.Seed)
	limiter.setConfig(config)
	return limiter, nil
}

// Reconfigure changes the configuration. Connections stay, also above lowered
// limits; the number of addresses that are remembered stays that of New.
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

// SetCapacity changes the capacity alone, and lowers the reserve where it would
// leave nothing to unknown addresses.
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

// ticksAt converts a time to the unit of the tables.
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

// allocate returns the index of a connection that is not open.
func (l *Limiter) allocate() int32 {
	index := l.firstFree
	if index == noIndex {
		l.connections = append(l.connections, conn{generation: 1})
		return int32(len(l.connections) - 1)
	}
	l.firstFree = l.connections[index].next
	return index
}

// find returns an open connection and its index; nil: it is closed.
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

// Closed removes a connection. An ID that is closed already is ignored.
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

// countOpen adds delta to the connections of a connection's address and prefix.
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

// countSilent adds delta to the silent connections, of all and of a connection's
// address and prefix.
func (l *Limiter) countSilent(connection *conn, delta int32) {
	l.silent += int(delta)
	l.countOpening(connection, delta)
}

// countOpening adds delta to the silent connections of a connection's address and
// prefix.
func (l *Limiter) countOpening(connection *conn, delta int32) {
	if connection.counted() {
		address, prefix := l.entriesOf(connection)
		address.opening += delta
		prefix.opening += delta
	}
}

// entriesOf returns the entries of a counted connection's address and prefix.
func (l *Limiter) entriesOf(connection *conn) (address, prefix *tableEntry) {
	return &l.addresses.entries[connection.address], &l.prefixes.entries[connection.prefix]
}
