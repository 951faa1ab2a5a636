package relay

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// listedRejections is how many rejected changes the status lists.
const listedRejections = 20

// Rejection is a change that was rejected.
type Rejection struct {
	Time     time.Time          `json:"time"`
	Upstream string             `json:"upstream"`
	Version  membership.Version `json:"version"` // 0 if it could not be read
	Reason   string             `json:"reason"`  // names the invalid field
}

// sameAs reports whether two rejections are equal apart from their times.
func (r Rejection) sameAs(other Rejection) bool {
	return r.Upstream == other.Upstream && r.Version == other.Version && r.Reason == other.Reason
}

// rejectionList contains the last rejections and the number of all rejections.
type rejectionList struct {
	latest []Rejection // oldest first
	total  int
}

// add adds a rejection. If it repeats the previous one, add neither lists nor
// counts it, and returns false.
func (l *rejectionList) add(rejection Rejection) bool {
	last := len(l.latest) - 1
	if last >= 0 && l.latest[last].sameAs(rejection) {
		return false
	}
	l.total++
	l.latest = append(l.latest, rejection)
	if len(l.latest) > listedRejections {
		l.latest = append(l.latest[:0], l.latest[len(l.latest)-listedRejections:]...)
	}
	return true
}

// recordRejection lists, counts and logs a change that was rejected. The last valid
// state stays. A rejection that repeats the previous one is ignored.
func (s *state) recordRejection(upstream string, version membership.Version, reason error) {
	rejection := Rejection{Time: time.Now(), Upstream: upstream, Version: version, Reason: reason.Error()}
	if !s.rejections.add(rejection) {
		return
	}
	s.log.Error("change rejected, the last valid state stays", "upstream", upstream, "version", version, "reason", reason)
}
