package recording

// pendingEntry is an accepted entry between its parsing and its writing to the recording. Times are
// in microseconds.
type pendingEntry struct {
	timestamp             int64  // as logged, then corrected by the clock corrector and the spreader, then the arrival
	sequence              uint64 // position within the source
	key                   uint64 // hash of the key's token; 0 for a synthetic key or without a key
	signature             uint64 // see RawEntry.signature
	duration              int64  // or notRecorded
	serviceTime           int64  // or notRecorded
	resolution            int64  // of the timestamp
	class                 int32  // index of the rule
	status                int32
	bodyBytes             int32
	repairs               Repair
	timestampMarksArrival bool
	noKey                 bool  // the rule says that entries have no key
	foldOffset            int64 // see RawEntry.FoldOffset
}

// baseDuration returns the duration that the effort is computed from: the service time or, if it is
// not recorded, the whole duration. It returns notRecorded if neither is recorded.
func (p *pendingEntry) baseDuration() int64 {
	if p.serviceTime >= 0 {
		return p.serviceTime
	}
	return p.duration
}
