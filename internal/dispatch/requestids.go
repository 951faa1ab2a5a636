package dispatch

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// maxRecentIDs is the number of ended requests whose IDs are remembered.
const maxRecentIDs = 8192

// usualIDLength is the length in bytes up to which a request ID is hashed without an allocation.
const usualIDLength = 128

// requestIDs contains the hashed IDs of the open requests and of those that ended last. A client never uses an ID for
// two requests, so another request with one of these IDs is a duplicate.
type requestIDs struct {
	key    [16]byte            // key of the hash; unknown to clients, and shared with a successor process
	open   map[uint64]int      // number of open requests by hashed ID
	recent map[uint64]struct{} // hashed IDs of the requests that ended last
	ring   []uint64            // the elements of recent in the order in which the requests ended
	oldest int                 // index in ring of the oldest element, used once ring is full
}

func newRequestIDs() requestIDs {
	ids := requestIDs{open: map[uint64]int{}, recent: map[uint64]struct{}{}}
	_, _ = rand.Read(ids.key[:]) // never fails
	return ids
}

func (s *requestIDs) hash(id string) uint64 {
	var buffer [len(s.key) + usualIDLength]byte
	keyed := append(buffer[:0], s.key[:]...)
	sum := sha256.Sum256(append(keyed, id...))
	return binary.LittleEndian.Uint64(sum[:])
}

// add adds the ID of an open request.
func (s *requestIDs) add(hash uint64) { s.open[hash]++ }

// end moves the ID of a request that has ended from the open to the recent IDs.
func (s *requestIDs) end(hash uint64) {
	s.open[hash]--
	if s.open[hash] <= 0 {
		delete(s.open, hash)
	}
	s.remember(hash)
}

// remember adds an ID to the recent IDs, and removes the oldest one if there are more than maxRecentIDs.
func (s *requestIDs) remember(hash uint64) {
	if _, ok := s.recent[hash]; ok {
		return
	}
	s.recent[hash] = struct{}{}
	if len(s.ring) < maxRecentIDs {
		s.ring = append(s.ring, hash)
		return
	}
	delete(s.recent, s.ring[s.oldest])
	s.ring[s.oldest] = hash
	s.oldest = (s.oldest + 1) % maxRecentIDs
}

func (s *requestIDs) known(hash uint64) bool {
	_, recent := s.recent[hash]
	return recent || s.open[hash] > 0
}

// IsKnownID reports whether a request with this ID is open or has ended recently. A front end must reject another
// request with such an ID: workers would discard it as a duplicate, and the response to either of the two requests
// could be taken for the response to the other.
func (d *Dispatcher) IsKnownID(id string) bool { return d.ids.known(d.ids.hash(id)) }

// RequestIDs returns the key under which request IDs are hashed, and the hashed IDs of the open and the recent
// requests. A successor process takes them over with AdoptIDKey and AddKnownIDs.
func (d *Dispatcher) RequestIDs() (key []byte, hashes []uint64) {
	for hash := range d.ids.open {
		hashes = append(hashes, hash)
	}
	return d.ids.key[:], append(hashes, d.ids.ring...)
}

// AdoptIDKey takes over the key under which another process hashes request IDs. It must be called before the first
// request is accepted.
func (d *Dispatcher) AdoptIDKey(key []byte) { copy(d.ids.key[:], key) }

// AddKnownIDs adds these hashed IDs to the known IDs, since another process has or had requests with them.
func (d *Dispatcher) AddKnownIDs(hashes []uint64) {
	for _, hash := range hashes {
		d.ids.remember(hash)
	}
}
