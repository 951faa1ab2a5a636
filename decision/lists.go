package decision

import "math/rand/v2"

// listID identifies a list of workers. Each worker stores its position in each list, so that it can be
// removed without a search.
type listID int

const (
	inFleet listID = iota
	inWarm
	inLocalWarm
	inWarmingUp
	inOwners // the owners of a key: a temporary list, in which positions are not maintained
	listCount
)

// candidateLists are the lists that picks draw workers from, each in random order. The first subsetSize
// workers of a list, or of the section of warmingUp that a pick may draw from, form the subset, which is
// drawn first.
type candidateLists struct {
	warm            []*worker // workers that have warmed up
	localWarm       []*worker // warm workers in the dispatcher's own zone
	warmingUp       []*worker // workers in slow start
	warmingUpNext   int       // index in warmingUp at which the next pick begins to draw
	subsetSize      int
	healthCheckNext int // number of health checks so far, which selects the next worker of the subset
}

// placeInLists puts a worker into the candidate lists where it belongs, and removes it from the others.
func (m *Machine) placeInLists(worker *worker) {
	warm := m.capacityFraction(worker) >= 1
	local := warm && worker.Zone == m.settings.Zone
	c := &m.candidates
	c.warmingUp = setMembership(c.warmingUp, inWarmingUp, worker, !warm, m.random)
	c.warm = setMembership(c.warm, inWarm, worker, warm, m.random)
	c.localWarm = setMembership(c.localWarm, inLocalWarm, worker, local, m.random)
}

// remove removes a worker from all candidate lists.
func (c *candidateLists) remove(worker *worker) {
	c.warm = removeFromList(c.warm, inWarm, worker)
	c.localWarm = removeFromList(c.localWarm, inLocalWarm, worker)
	c.warmingUp = removeFromList(c.warmingUp, inWarmingUp, worker)
}

// nextWarmingUp returns the workers in slow start that the next pick may draw. Their number is bounded, and
// successive calls cycle through the list.
func (c *candidateLists) nextWarmingUp() []*worker {
	if c.warmingUpNext >= len(c.warmingUp) {
		c.warmingUpNext = 0
	}
	first := c.warmingUpNext
	c.warmingUpNext = min(first+maxWarmingUpDraws, len(c.warmingUp))
	return c.warmingUp[first:c.warmingUpNext]
}

// setMembership puts a worker into a list, at a random position, or removes it.
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

// removeFromList removes a worker from a list if it is there. The last worker of the list takes its
// position.
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

// swapInList swaps two workers of a list, or of a section of one.
func swapInList(list []*worker, id listID, i, j int) {
	a := list[i]
	b := list[j]
	list[i] = b
	list[j] = a
	a.positions[id], b.positions[id] = b.positions[id], a.positions[id]
}
