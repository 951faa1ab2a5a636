package connlimit

import (
	"net/netip"
	"slices"
)

// prefixSet is a set of prefixes. It finds out whether a prefix of the set contains an
// address with one map lookup for each length of prefix in the set.
type prefixSet struct {
	v4Lengths []int
	v6Lengths []int
	prefixes  map[netip.Prefix]struct{}
}

func newPrefixSet(prefixes []netip.Prefix) prefixSet {
	set := prefixSet{prefixes: map[netip.Prefix]struct{}{}}
	for _, prefix := range prefixes {
		prefix = netip.PrefixFrom(prefix.Addr().Unmap(), prefix.Bits()).Masked()
		set.prefixes[prefix] = struct{}{}
		lengths := &set.v6Lengths
		if prefix.Addr().Is4() {
			lengths = &set.v4Lengths
		}
		if !slices.Contains(*lengths, prefix.Bits()) {
			*lengths = append(*lengths, prefix.Bits())
		}
	}
	return set
}

func (s *prefixSet) contains(addr netip.Addr) bool {
	lengths := s.v6Lengths
	if addr.Is4() {
		lengths = s.v4Lengths
	}
	for _, length := range lengths {
		prefix, err := addr.Prefix(length)
		if err != nil {
			continue
		}
		_, found := s.prefixes[prefix]
		if found {
			return true
		}
	}
	return false
}
