package listener

import (
	"net/netip"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

// rejectionLogInterval is the time between two log lines for one reason.
const rejectionLogInterval = 5 * time.Second

// rejectionLog bounds the rate of log lines by reason.
type rejectionLog struct {
	mu       sync.Mutex
	byReason [connlimit.NumReasons]reasonLog
}

// reasonLog is the last log line for a reason.
type reasonLog struct {
	loggedAt   time.Duration // 0: never
	suppressed int           // rejections since then
}

// allow reports whether a rejection now is logged, and how many were not since the
// last line.
func (r *rejectionLog) allow(now time.Duration, reason connlimit.Reason) (suppressed int, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := &r.byReason[reason]
	if last.loggedAt != 0 && now-last.loggedAt < rejectionLogInterval {
		last.suppressed++
		return 0, false
	}
	suppressed = last.suppressed
	*last = reasonLog{loggedAt: now}
	return suppressed, true
}

// LogRejection logs a rejection, those of one reason at a bounded rate.
func (g *Gate) LogRejection(reason connlimit.Reason, addr netip.Addr) {
	if g.logger == nil {
		return
	}
	suppressed, allowed := g.rejectionLog.allow(g.loop.Now(), reason)
	if allowed {
		g.logger.Warn("connection rejected", "reason", reason.String(), "address", addr.String(), "suppressed", suppressed)
	}
}
