package recording

// pendingEntry is an accepted entry on its way through the import. Times are in microseconds.
type pendingEntry struct {
	timestamp     int64  // the source's; behind the clock corrector and the spreader, the arrival
	sequence      uint64 // within the source
	key           uint64 // hash of the key's token; 0: a synthetic key, or none
	signature     uint64 // equal for two sources' entries of the same request
	duration      int64  // -1: not recorded
	serviceTime   int64  // -1: not recorded
	resolution    int64
	class         int32 // index of the rule
	status        int32
	bodyBytes     int32
	repairs       Repair
	stampsArrival bool
	noKey         bool
	foldOffset    int64
}

// baseDuration is what the effort is computed from: the service time, otherwise the whole
// duration; -1: neither is recorded.
func (p *pendingEntry) baseDuration() int64 {
	if p.serviceTime >= 0 {
		return p.serviceTime
	}
	return p.duration
}
