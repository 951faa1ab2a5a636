package recording

import "slices"

// Limits of a source's clock, in microseconds.
const (
	// maxCompletionDisorder is how much earlier than a line above it a line may have been completed,
	// since the worker processes of a server write to the log independently.
	maxCompletionDisorder = 2 * second
	// maxArrivalDisorder is the same limit if timestamps mark arrivals and no duration is recorded,
	// so that the completions are not known.
	maxArrivalDisorder = 120 * second
	// maxForwardJump is the longest gap before an entry that does not make the entry suspect. A night
	// without requests may leave a longer gap; the entries after it then confirm the suspect.
	maxForwardJump = 6 * 3600 * second
	// resumeWindow applies while there are suspects: an entry that completed at most this long after
	// the last certain completion shows that the suspects before it are outliers.
	resumeWindow = 3600 * second
)

// stepConfirmations is the number of consecutive suspects that are enough to accept their timestamps.
const stepConfirmations = 8

// clockCorrector corrects the timestamps of one source for steps of its clock and for outliers. An
// entry whose timestamp does not fit those before it is suspect: either the clock has stepped or the
// timestamp is an outlier. Suspects are held back until the following entries show which.
type clockCorrector struct {
	emit            func(pendingEntry)
	unordered       bool // the entries are in no particular order, as in HAR files, and are not corrected
	started         bool
	lastCertain     int64 // latest completion of an entry whose timestamp is certain
	correction      int64 // sum of the clock's steps back so far, added to all timestamps
	suspects        []pendingEntry
	suspectsEarlier bool // the suspects are earlier than lastCertain; if false, they are far later

	StepsBack           int
	SteppedMicroseconds int64 // sum of the steps back
	Outliers            int
}

// completion returns the time at which the line was written, which the order of lines follows: the end
// of the request, or its arrival if no duration is recorded.
func (p *pendingEntry) completion() int64 {
	if p.timestampMarksArrival && p.duration > 0 {
		return p.timestamp + p.duration
	}
	return p.timestamp
}

// tolerance returns how much earlier than that of a previous entry the completion may be, without being
// taken for a step of the clock.
func (p *pendingEntry) tolerance() int64 {
	if p.timestampMarksArrival && p.duration < 0 {
		return maxArrivalDisorder
	}
	return maxCompletionDisorder
}

// add takes the next entry of the source, in the order of its lines.
func (c *clockCorrector) add(entry pendingEntry) {
	if c.unordered {
		c.emit(entry)
		return
	}
	completion := entry.completion() + c.correction
	if !c.started {
		c.started = true
		c.lastCertain = completion
	}
	earliest := c.lastCertain - entry.tolerance()
	if entry.foldOffset > 0 && completion < earliest && completion+entry.foldOffset >= earliest {
		entry.timestamp += entry.foldOffset
		completion += entry.foldOffset
		entry.repairs |= RepeatedHour
	}
	entry.foldOffset = 0
	behind := completion < earliest
	if len(c.suspects) > 0 {
		if behind || completion > c.lastCertain+resumeWindow {
			c.addSuspect(entry)
			return
		}
		c.releaseOutliers() // since this entry continues from lastCertain
	}
	if behind || completion > c.lastCertain+maxForwardJump {
		c.suspectsEarlier = behind
		c.suspects = append(c.suspects, entry)
		return
	}
	c.accept(entry)
}

// addSuspect adds a further suspect, and accepts the suspects once there are enough of them.
func (c *clockCorrector) addSuspect(entry pendingEntry) {
	c.suspects = append(c.suspects, entry)
	if len(c.suspects) >= stepConfirmations {
		c.acceptSuspects()
	}
}

// accept corrects and emits an entry whose timestamp is certain.
func (c *clockCorrector) accept(entry pendingEntry) {
	entry.timestamp += c.correction
	if c.correction != 0 {
		entry.repairs |= ClockStepped
	}
	c.lastCertain = max(c.lastCertain, entry.completion())
	c.emit(entry)
}

// releaseOutliers emits the suspects as outliers, whose completion is set to lastCertain.
func (c *clockCorrector) releaseOutliers() {
	for _, entry := range c.suspects {
		c.Outliers++
		entry.repairs |= OutlierTimestamp
		entry.timestamp = c.lastCertain
		if entry.timestampMarksArrival && entry.duration > 0 {
			entry.timestamp -= entry.duration
		}
		c.emit(entry)
	}
	c.suspects = c.suspects[:0]
}

// acceptSuspects accepts the timestamps of the suspects: either the clock has stepped back, and the step
// is added to the correction, or there were no requests for a long time.
func (c *clockCorrector) acceptSuspects() {
	if len(c.suspects) == 0 {
		return
	}
	first := c.suspects[0].completion() + c.correction
	if c.suspectsEarlier {
		c.StepsBack++
		c.SteppedMicroseconds += c.lastCertain - first
		c.correction += c.lastCertain - first
	} else {
		c.lastCertain = first
	}
	suspects := slices.Clone(c.suspects)
	c.suspects = c.suspects[:0]
	for _, entry := range suspects { // so that a second step among them is detected
		c.add(entry)
	}
}

// finish emits the suspects that are held back at the end of a file. It accepts several suspects, since
// they confirm each other. A single one, also one that is left after accepting others, is an outlier.
func (c *clockCorrector) finish() {
	for len(c.suspects) > 1 {
		c.acceptSuspects() // accepts at least the first of them
	}
	c.releaseOutliers()
}
