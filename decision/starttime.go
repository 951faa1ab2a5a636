package decision

import "time"

// This file owns how far a told time of a worker's start is believed.

// clockError is by how much the clock of this machine may have been ahead when the
// process started. Clocks are stepped by seconds or by an hour.
const clockError = 90 * time.Minute

// startTime is when a worker counts as started. One whose start is news counts as
// just started where the time told would make it warm, and a clock that is ahead may
// be the reason: a fresh worker would be sent all that a warm one takes. A worker that
// was out of reach and is as warm as told gets less for a while.
func (m *Machine) startTime(told time.Duration, news bool) time.Duration {
	age := m.now - told
	if news && told > 0 && m.settings.SlowStartDuration > 0 && age >= m.settings.SlowStartDuration && age < m.settings.SlowStartDuration+clockError {
		return m.now
	}
	return told
}
