package connlimit

import "fmt"

// entryCounts contains the counts of a tableEntry, for comparison.
type entryCounts struct{ open, opening, halfRead, bufferedBytes, openUnknown int32 }

func (e *tableEntry) counts() entryCounts {
	return entryCounts{e.open, e.opening, e.halfRead, e.bufferedBytes, e.openUnknown}
}

func (n *entryCounts) add(connection *conn) {
	n.open++
	if connection.stage == Silent {
		n.opening++
	}
	if connection.halfRead {
		n.halfRead++
	}
	if connection.trust == Unknown {
		n.openUnknown++
	}
	n.bufferedBytes += connection.bufferedBytes
}

// connectionCounts contains counts that are computed from the connections alone.
type connectionCounts struct {
	openByTrust [numTrusts]int
	silent      int
	byAddress   map[int32]entryCounts // by index of the address's entry
	byPrefix    map[int32]entryCounts // by index of the prefix's entry
}

// CheckInvariants checks all counts and tables against the connections, and returns
// an error for the first difference. Its run time is proportional to the size of the
// tables.
func (l *Limiter) CheckInvariants() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, err := l.countConnections()
	if err != nil {
		return err
	}
	if counts.openByTrust != l.openByTrust || counts.silent != l.silent {
		return fmt.Errorf("the Limiter counts %v open by trust and %d silent, there are %v and %d",
			l.openByTrust, l.silent, counts.openByTrust, counts.silent)
	}
	for index, n := range counts.byPrefix { // openUnknown is only counted for addresses
		n.openUnknown = 0
		counts.byPrefix[index] = n
	}
	err = l.addresses.check("addresses", counts.byAddress)
	if err != nil {
		return err
	}
	err = l.prefixes.check("prefixes", counts.byPrefix)
	if err != nil {
		return err
	}
	active := 0
	for _, n := range counts.byAddress {
		if n.openUnknown > 0 {
			active++
		}
	}
	if active != l.activeAddresses {
		return fmt.Errorf("the Limiter counts %d active addresses, there are %d", l.activeAddresses, active)
	}
	return nil
}

func (l *Limiter) countConnections() (connectionCounts, error) {
	counts := connectionCounts{byAddress: map[int32]entryCounts{}, byPrefix: map[int32]entryCounts{}}
	for i := range l.connections {
		connection := &l.connections[i]
		if !connection.open {
			continue
		}
		counts.openByTrust[connection.trust]++
		if connection.stage == Silent {
			counts.silent++
		}
		if !connection.listed {
			return counts, fmt.Errorf("connection %d is in no list", i)
		}
		if !connection.counted() {
			continue
		}
		address := counts.byAddress[connection.address]
		address.add(connection)
		counts.byAddress[connection.address] = address
		prefix := counts.byPrefix[connection.prefix]
		prefix.add(connection)
		counts.byPrefix[connection.prefix] = prefix
	}
	return counts, nil
}

// check compares the entries of a table with the counts that were computed from the
// connections, by index of the entry.
func (t *table) check(name string, counts map[int32]entryCounts) error {
	used := 0
	for i := range t.entries {
		index := int32(i)
		entry := &t.entries[index]
		want := counts[index]
		if !entry.used {
			if want != (entryCounts{}) {
				return fmt.Errorf("entry %d of %s was removed while it has connections", index, name)
			}
			continue
		}
		used++
		got := entry.counts()
		if got != want {
			return fmt.Errorf("entry %d of %s counts %+v, there are %+v", index, name, got, want)
		}
		if t.find(entry.key) != index {
			return fmt.Errorf("entry %d of %s is not found", index, name)
		}
	}
	if used != t.size {
		return fmt.Errorf("%s counts %d entries, there are %d", name, t.size, used)
	}
	return nil
}
