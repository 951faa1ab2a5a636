package hollyyoke

import "time"

// This file owns how far a told time of a worker's start is believed.

// startTime is when a worker counts as started. One whose start is news counts as
// just started where the time told lies so long ago that it would be warm: that time
// is compared with the clock of this machine, which may have been wrong by an hour
// when the process started, and a fresh worker would be sent all that a warm one
// takes. A worker that was out of reach and is as warm as told gets less for a while.
func (d *Dispatcher) startTime(told time.Duration, news bool) time.Duration {
	if news && told > 0 && d.s.WarmAfter > 0 && d.now-told >= d.s.WarmAfter {
		return d.now
	}
	return told
}
