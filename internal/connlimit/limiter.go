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
	mu       sync.Mutex
	config   Config
	epoch    time.Duration // of ticks; 0: not set yet
	pressure int           // PressureNone to PressureCritical

	addresses table
	prefixes  table
	known     prefixSet
	proxies   prefixSet
	blocks    []block

	connections []conn
	firstFree   int32 // of connections, linked by next; noIndex: none
	stageLists  [numSides][numStages]stageList

	openByTrust     [numTrusts]int
	silent          int // connections in the stage Silent
	openRetries     int // connections that were admitted as retries
	activeAddresses int // that have connections counted as unknown

	unknownRate gcra // of Config.Rate
	rejections  [NumReasons]uint64
	admitted    uint64
}

// conn is a connection.
type conn struct {
	token          uint64 // by which the caller knows it
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

// New returns a Limiter. An error names the field of the configuration that is wrong.
func New(config Config) (*Limiter, error) {
	err := config.Check()
	if err != nil {
		return nil, err
	}
	l := &Limiter{firstFree: noIndex}
	for side := range l.stageLists {
		for stage := range l.stageLists[side] {
			l.stageLists[side][stage] = stageList{noIndex, noIndex}
		}
	}
	l.addresses.init(config.Addresses, config.Seed)
	l.prefixes.init(config.Prefixes, config.Seed)
	l.setConfig(config)
	return l, nil
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

// SetPressure sets the level of pressure, PressureNone to PressureCritical.
func (l *Limiter) SetPressure(level int) {
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
func (l *Limiter) add(now time.Duration, token uint64, d decision) ID {
	index := l.allocate()
	c := &l.connections[index]
	*c = conn{
		token: token, hasToken: token != 0, generation: c.generation, open: true,
		address: d.address, prefix: d.prefix, trust: d.trust, isRetry: d.isRetry,
	}
	if c.isRetry {
		l.openRetries++
	}
	l.openByTrust[c.trust]++
	l.admitted++
	l.countOpen(c, 1)
	l.countSilent(c, 1)
	l.addToStage(index, Silent, now)
	return newID(index, c.generation)
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
	c := &l.connections[index]
	if !c.open || c.generation != id.generation() {
		return noIndex, nil
	}
	return index, c
}

// SetToken sets the token of a connection that was admitted without one.
func (l *Limiter) SetToken(id ID, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, c := l.find(id)
	if c != nil {
		c.token = token
		c.hasToken = true
	}
}

// Closed removes a connection. An ID that is closed already is ignored.
func (l *Limiter) Closed(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, c := l.find(id)
	if c == nil {
		return
	}
	l.clearHalfRead(c)
	if c.stage == Silent {
		l.countSilent(c, -1)
	}
	l.removeFromStage(index)
	l.countOpen(c, -1)
	l.openByTrust[c.trust]--
	if c.isRetry {
		l.openRetries--
	}
	c.open = false
	c.generation++
	c.next = l.firstFree
	l.firstFree = index
}

// countOpen adds n to the connections of c's address and prefix.
func (l *Limiter) countOpen(c *conn, n int32) {
	if c.address < 0 {
		return
	}
	if c.trust == Unknown {
		e := &l.addresses.entries[c.address]
		e.openUnknown += n
		if n > 0 && e.openUnknown == 1 {
			l.activeAddresses++
		} else if n < 0 && e.openUnknown == 0 {
			l.activeAddresses--
		}
	}
	l.addresses.countOpen(c.address, n)
	l.prefixes.countOpen(c.prefix, n)
}

// countSilent adds n to the silent connections, and to those of c's address and
// prefix.
func (l *Limiter) countSilent(c *conn, n int32) {
	l.silent += int(n)
	l.countOpening(c, n)
}

func (l *Limiter) countOpening(c *conn, n int32) {
	if c.address >= 0 {
		l.addresses.entries[c.address].opening += n
		l.prefixes.entries[c.prefix].opening += n
	}
}
