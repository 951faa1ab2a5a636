package connlimit

import "fmt"

// entryCounts are the counts of an entry, for comparison.
type entryCounts struct{ open, opening, halfRead, bufferedBytes, openUnknown int32 }

func (e *entry) counts() entryCounts {
	return entryCounts{e.open, e.opening, e.halfRead, e.bufferedBytes, e.openUnknown}
}

func (n *entryCounts) add(c *conn) {
	n.open++
	if c.stage == Silent {
		n.opening++
	}
	if c.halfRead {
		n.halfRead++
	}
	if c.trust == Unknown {
		n.openUnknown++
	}
	n.bufferedBytes += c.bufferedBytes
}

// connectionCounts are the counts that follow from the connections alone.
type connectionCounts struct {
	openByTrust [numTrusts]int
	silent      int
	byAddress   map[int32]entryCounts // by the entry's index
	byPrefix    map[int32]entryCounts
}

// CheckInvariants checks all counts and tables against the connections, and returns
// the first difference. It takes time in proportion to the size of the tables, and
// is for tests and for operators who suspect a fault.
func (l *Limiter) CheckInvariants() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, err := l.countConnections()
	if err != nil {
		return err
	}
	if counts.openByTrust != l.openByTrust || counts.silent != l.silent {
		return fmt.Errorf("counted %v and %d silent, there are %v and %d",
			l.openByTrust, l.silent, counts.openByTrust, counts.silent)
	}
	for index, n := range counts.byPrefix { // only addresses count it
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
		return fmt.Errorf("%d active addresses counted, there are %d", l.activeAddresses, active)
	}
	return nil
}

func (l *Limiter) countConnections() (connectionCounts, error) {
	counts := connectionCounts{byAddress: map[int32]entryCounts{}, byPrefix: map[int32]entryCounts{}}
	for i := range l.connections {
		c := &l.connections[i]
		if !c.open {
			continue
		}
		counts.openByTrust[c.trust]++
		if c.stage == Silent {
			counts.silent++
		}
		if !c.listed {
			return counts, fmt.Errorf("connection %d is in no list", i)
		}
		if c.address < 0 {
			continue
		}
		address := counts.byAddress[c.address]
		address.add(c)
		counts.byAddress[c.address] = address
		prefix := counts.byPrefix[c.prefix]
		prefix.add(c)
		counts.byPrefix[c.prefix] = prefix
	}
	return counts, nil
}

// check compares the entries with what the connections count, by index.
func (t *table) check(name string, counts map[int32]entryCounts) error {
	used := 0
	for i := range t.entries {
		index := int32(i)
		e := &t.entries[index]
		want := counts[index]
		if !e.used {
			if want != (entryCounts{}) {
				return fmt.Errorf("entry %d of %s was forgotten while it has connections", index, name)
			}
			continue
		}
		used++
		got := e.counts()
		if got != want {
			return fmt.Errorf("entry %d of %s counts %+v, there are %+v", index, name, got, want)
		}
		found, ok := t.find(e.key)
		if !ok || found != index {
			return fmt.Errorf("entry %d of %s is not found", index, name)
		}
	}
	if used != t.size {
		return fmt.Errorf("%s counts %d entries, there are %d", name, t.size, used)
	}
	return nil
}
