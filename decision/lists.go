package decision

// listID names a list of workers. Each worker knows its position there, so that it leaves without a walk.
type listID int

const (
	inFleet listID = iota
	inWarmWorkers
	inLocalWarmWorkers
	inWarmingUp
	inOwners // of a key: the list is made for one use, and positions in it mean nothing
	listCount
)

// placeInLists puts a worker into the lists that picks draw from: in slow start into that of its like
// alone, later into those of the warm ones.
func (m *Machine) placeInLists(worker *worker) {
	warm := m.capacityFraction(worker) >= 1
	local := warm && worker.Zone == m.settings.Zone
	m.warmingUp = m.setMembership(m.warmingUp, inWarmingUp, worker, !warm)
	m.warmWorkers = m.setMembership(m.warmWorkers, inWarmWorkers, worker, warm)
	m.localWarmWorkers = m.setMembership(m.localWarmWorkers, inLocalWarmWorkers, worker, local)
}

// setMembership puts a worker into a list, at a random position, or takes it out.
func (m *Machine) setMembership(list []*worker, id listID, worker *worker, member bool) []*worker {
	if !member {
		return removeFromList(list, id, worker)
	}
	if worker.positions[id] == 0 {
		list = m.insertAtRandom(list, id, worker)
	}
	return list
}

// nextWarmingUp returns the workers in slow start that the next pick may draw: a bounded number, in turn
// with all others.
func (m *Machine) nextWarmingUp() []*worker {
	if m.warmingUpNext >= len(m.warmingUp) {
		m.warmingUpNext = 0
	}
	first := m.warmingUpNext
	m.warmingUpNext = min(first+maxWarmingUpDraws, len(m.warmingUp))
	return m.warmingUp[first:m.warmingUpNext]
}

// appendToList adds a worker at the end of a list.
func appendToList(list []*worker, id listID, worker *worker) []*worker {
	list = append(list, worker)
	worker.positions[id] = len(list)
	return list
}

// insertAtRandom adds a worker to a list in random order, at a random position.
func (m *Machine) insertAtRandom(list []*worker, id listID, worker *worker) []*worker {
	list = appendToList(list, id, worker)
	swapInList(list, id, m.random.IntN(len(list)), len(list)-1)
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
	a, b := list[i], list[j]
	list[i], list[j] = b, a
	a.positions[id], b.positions[id] = b.positions[id], a.positions[id]
}
