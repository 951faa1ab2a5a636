package recording

import "slices"

// Limits of a source's clock, in microseconds.
const (
	// maxCompletionDisorder is by how much the completions of a log's lines may go back, since
	// the workers of a server write in turn.
	maxCompletionDisorder = 2 * second
	// maxArrivalDisorder is the same where timestamps mark arrivals and no duration is recorded.
	maxArrivalDisorder = 120 * second
	// maxForwardJump is the longest gap that is not suspected of being an outlier; a night
	// without entries may be longer, and is then confirmed by the entries that follow.
	maxForwardJump = 6 * 3600 * second
	// resumeWindow is how far behind the last good completion the clock may be found again.
	resumeWindow = 3600 * second
)

// stepConfirmations is the number of entries that must agree before a step is accepted.
const stepConfirmations = 8

// clockCorrector makes the timestamps of one source continuous. It holds back a few entries
// while it is not certain whether the clock has stepped or a timestamp is an outlier.
type clockCorrector struct {
	emit           func(pendingEntry)
	unordered      bool // the order of the source means nothing (HAR)
	started        bool
	lastGood       int64 // latest completion that is certain
	correction     int64 // added to all timestamps since the clock stepped back
	suspects       []pendingEntry
	suspectsBehind bool // the suspects are behind lastGood, not far ahead

	StepsBack           int
	SteppedMicroseconds int64 // sum of the steps back
	Outliers            int
}

// completion is the time by which lines are ordered: when they were written.
func (p *pendingEntry) completion() int64 {
	if p.stampsArrival && p.duration > 0 {
		return p.timestamp + p.duration
	}
	return p.timestamp
}

// tolerance is by how much the completion may go back without a step of the clock.
func (p *pendingEntry) tolerance() int64 {
	if p.stampsArrival && p.duration < 0 {
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
		c.lastGood = completion
	}
	earliest := c.lastGood - entry.tolerance()
	if entry.foldOffset > 0 && completion < earliest && completion+entry.foldOffset >= earliest {
		entry.timestamp += entry.foldOffset
		completion += entry.foldOffset
		entry.repairs |= RepeatedHour
	}
	entry.foldOffset = 0
	behind := completion < earliest
	if len(c.suspects) > 0 {
		if behind || completion > c.lastGood+resumeWindow {
			c.addSuspect(entry)
			return
		}
		c.releaseOutliers() // the clock goes on from where it was before the suspects
	}
	if behind || completion > c.lastGood+maxForwardJump {
		c.suspectsBehind = behind
		c.suspects = append(c.suspects, entry)
		return
	}
	c.accept(entry)
}

// addSuspect adds an entry that confirms the suspects; enough of them are accepted as a step.
func (c *clockCorrector) addSuspect(entry pendingEntry) {
	c.suspects = append(c.suspects, entry)
	if len(c.suspects) >= stepConfirmations {
		c.acceptSuspects()
	}
}

// accept emits an entry whose timestamp is certain but for the correction.
func (c *clockCorrector) accept(entry pendingEntry) {
	entry.timestamp += c.correction
	if c.correction != 0 {
		entry.repairs |= ClockStepped
	}
	c.lastGood = max(c.lastGood, entry.completion())
	c.emit(entry)
}

// releaseOutliers emits the suspects as outliers, at the last certain time.
func (c *clockCorrector) releaseOutliers() {
	for _, entry := range c.suspects {
		c.Outliers++
		entry.repairs |= OutlierTimestamp
		entry.timestamp = c.lastGood
		if entry.stampsArrival && entry.duration > 0 {
			entry.timestamp -= entry.duration
		}
		c.emit(entry)
	}
	c.suspects = c.suspects[:0]
}

// acceptSuspects accepts the timestamps of the suspects: the clock has stepped, or time has passed.
func (c *clockCorrector) acceptSuspects() {
	if len(c.suspects) == 0 {
		return
	}
	first := c.suspects[0].completion() + c.correction
	if c.suspectsBehind {
		c.StepsBack++
		c.SteppedMicroseconds += c.lastGood - first
		c.correction += c.lastGood - first
	} else {
		c.lastGood = first
	}
	suspects := slices.Clone(c.suspects)
	c.suspects = c.suspects[:0]
	for _, entry := range suspects { // a second step among them is found as one
		c.add(entry)
	}
}

// finish emits what is still held back at the end of the source. Entries that agree are a step. A single one, which
// nothing confirms, is an outlier; accepting a step may leave one.
func (c *clockCorrector) finish() {
	for len(c.suspects) > 1 {
		c.acceptSuspects() // accepts the first of them at least
	}
	c.releaseOutliers()
}
