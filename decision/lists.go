package decision

import "math/rand/v2"

// listID names a list of workers. Each worker knows its position in each list, so that it leaves one
// without a search.
type listID int

const (
	inFleet listID = iota
	inWarm
	inLocalWarm
	inWarmingUp
	inOwners // of a key: the list is made for one use, and positions in it mean nothing
	listCount
)

// candidateLists are the lists that picks draw workers from, each in random order. The first subsetSize
// workers of a list, or of the part of warmingUp that a pick may draw, are drawn first: the subset.
type candidateLists struct {
	warm            []*worker // those that have warmed up
	localWarm       []*worker // those of them in the dispatcher's own zone
	warmingUp       []*worker // those in slow start
	warmingUpNext   int       // index at which the next pick begins to draw them
	subsetSize      int
	healthCheckNext int // counts the health checks, to go round the subset
}

// placeInLists puts a worker into the candidate lists where it belongs, and takes it out of the others.
func (m *Machine) placeInLists(worker *worker) {
	warm := m.capacityFraction(worker) >= 1
	local := warm && worker.Zone == m.settings.Zone
	c := &m.candidates
	c.warmingUp = setMembership(c.warmingUp, inWarmingUp, worker, !warm, m.random)
	c.warm = setMembership(c.warm, inWarm, worker, warm, m.random)
	c.localWarm = setMembership(c.localWarm, inLocalWarm, worker, local, m.random)
}

// remove takes a worker out of all candidate lists.
func (c *candidateLists) remove(worker *worker) {
	c.warm = removeFromList(c.warm, inWarm, worker)
	c.localWarm = removeFromList(c.localWarm, inLocalWarm, worker)
	c.warmingUp = removeFromList(c.warmingUp, inWarmingUp, worker)
}

// nextWarmingUp returns the workers in slow start that the next pick may draw. Their number is bounded, and
// successive calls go round the list.
func (c *candidateLists) nextWarmingUp() []*worker {
	if c.warmingUpNext >= len(c.warmingUp) {
		c.warmingUpNext = 0
	}
	first := c.warmingUpNext
	c.warmingUpNext = min(first+maxWarmingUpDraws, len(c.warmingUp))
	return c.warmingUp[first:c.warmingUpNext]
}

// setMembership puts a worker into a list, at a random position, or takes it out.
func setMembership(list []*worker, id listID, worker *worker, member bool, random *rand.Rand) []*worker {
	if !member {
		return removeFromList(list, id, worker)
	}
	if worker.positions[id] == 0 {
		list = appendToList(list, id, worker)
		swapInList(list, id, random.IntN(len(list)), len(list)-1)
	}
	return list
}

// appendToList adds a worker at the end of a list.
func appendToList(list []*worker, id listID, worker *worker) []*worker {
	list = append(list, worker)
	worker.positions[id] = len(list)
	return list
}

// removeFromList takes a worker out of a list, if it is there. The last one takes its position.
func removeFromList(list []*worker, id listID, worker *worker) []*worker {
	i := worker.positions[id] - 1
	if i < 0 {
		return list
	}
	last := len(list) - 1
	swapInList(list, id, i, last)
	worker.positions[id] = 0
	list[last] = nil
	return list[:last]
}

// swapInList exchanges two workers of a list, or of a part of one.
func swapInList(list []*worker, id listID, i, j int) {
	a := list[i]
	b := list[j]
	list[i] = b
	list[j] = a
	a.positions[id], b.positions[id] = b.positions[id], a.positions[id]
}
