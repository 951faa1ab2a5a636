package listener

import (
	"net/netip"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

// rejectionLogInterval is the minimum time between two log lines for the same reason.
const rejectionLogInterval = 5 * time.Second

// rejectionLog limits the rate of log lines for each reason.
type rejectionLog struct {
	mu       sync.Mutex
	byReason [connlimit.NumReasons]reasonLog
}

// reasonLog is the state of the log lines for one reason.
type reasonLog struct {
	loggedAt   time.Duration // clock time of the last log line; 0 if there was none
	suppressed int           // number of rejections since then that were not logged
}

// allow reports whether a rejection for a reason may be logged now. If so, suppressed is
// the number of rejections that were not logged since the last log line.
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

// LogRejection logs a rejection. The rate of log lines for each reason is limited.
func (g *Gate) LogRejection(reason connlimit.Reason, addr netip.Addr) {
	if g.logger == nil {
		return
	}
	suppressed, allowed := g.rejectionLog.allow(g.loop.Now(), reason)
	if allowed {
		g.logger.Warn("connection rejected", "reason", reason.String(), "address", addr.String(), "suppressed", suppressed)
	}
}
