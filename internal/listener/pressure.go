package listener

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

const (
	pressureRecheckInterval = 20 * time.Millisecond  // time between two runs of relievePressure while there is pressure
	evictionsPerRecheck     = 8                      // maximum number of connections that one run evicts
	exhaustedPeriod         = 300 * time.Millisecond // how long pressure stays high after the kernel had no descriptor
)

// Exhausted implements transport.Admission. It raises the pressure, since the kernel
// had no descriptor left, even if the budget still has some.
func (g *Gate) Exhausted() {
	g.Budget.ForcePressure(connlimit.PressureHigh)
	g.exhaustedAt.Store(int64(g.loop.Now()))
	g.updatePressure()
}

// Pressure returns the level of pressure.
func (g *Gate) Pressure() connlimit.Pressure {
	if g.Budget == nil {
		return connlimit.PressureNone
	}
	return connlimit.Pressure(g.pressure.Load())
}

// updatePressure passes the budget's level of pressure to the Limiter. If there is
// pressure, it has relievePressure run on the loop's goroutine.
func (g *Gate) updatePressure() {
	level := g.Budget.Pressure()
	if level == connlimit.PressureNone && g.Pressure() == connlimit.PressureNone {
		return
	}
	g.Limiter.SetPressure(level)
	g.pressure.Store(int32(level))
	if level > connlimit.PressureNone && !g.relieving.Swap(true) {
		g.loop.Post(g.relievePressure)
	}
}

// relievePressure evicts connections of unknown addresses and, at the critical level,
// closes idle connections to workers. It is repeated until there is no pressure.
func (g *Gate) relievePressure() {
	now := g.loop.Now()
	g.endExhaustion(now)
	level := g.Budget.Pressure()
	g.setPressure(level)
	if level == connlimit.PressureNone {
		g.stopRelieving()
		return
	}
	for range evictionsPerRecheck {
		if !g.EvictOne(connlimit.ForTrusted) {
			break
		}
	}
	if level == connlimit.PressureCritical && g.CloseIdleWorkers != nil {
		g.CloseIdleWorkers()
	}
	g.loop.Set(&g.pressureRecheck, now+pressureRecheckInterval)
}

// endExhaustion ends the pressure that Exhausted has forced, when exhaustedPeriod has
// passed.
func (g *Gate) endExhaustion(now time.Duration) {
	exhaustedAt := time.Duration(g.exhaustedAt.Load())
	if exhaustedAt != 0 && now-exhaustedAt > exhaustedPeriod {
		g.exhaustedAt.Store(0)
		g.Budget.ForcePressure(connlimit.PressureNone)
	}
}

// stopRelieving allows the next pressure to start relievePressure again.
func (g *Gate) stopRelieving() {
	g.relieving.Store(false)
	if g.Budget.Pressure() > connlimit.PressureNone { // another goroutine raised it while relieving was still set
		g.updatePressure()
	}
}

// setPressure passes a level of pressure to the Limiter and logs it if it has changed.
func (g *Gate) setPressure(level connlimit.Pressure) {
	g.Limiter.SetPressure(level)
	previous := connlimit.Pressure(g.pressure.Swap(int32(level)))
	if previous != level && g.logger != nil {
		g.logger.Warn("descriptor pressure changed", "level", level)
	}
}
