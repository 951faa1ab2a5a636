package invariant

import (
	"fmt"
	"time"
)

// ReportedProgress is the furthest progress of an attempt that a worker client has reported so far.
type ReportedProgress uint8

// The progress that may have been reported.
const (
	NothingReported ReportedProgress = iota
	SentReported                     // its last byte was sent
	StartReported                    // its worker has begun to run it
)

// String describes the reported progress, as it is written in logs.
func (r ReportedProgress) String() string {
	return [...]string{"nothing was reported", "its last byte was reported as sent", "its worker was reported to run it"}[r]
}

// ClaimKind says why a worker client claims that an attempt was never sent.
type ClaimKind string

// The kinds of claims.
const (
	ClaimEnded     ClaimKind = "ended"     // the client reports the end of the attempt
	ClaimCancelled ClaimKind = "cancelled" // the client was asked to cancel the attempt
	ClaimMoved     ClaimKind = "moved"     // the client sends the attempt on another connection
)

// Evidence supports a claim: the state of the connection to which the attempt was assigned. Offsets are counted in
// bytes from the beginning of the connection.
type Evidence struct {
	Connection  string // phase of the connection's current exchange
	RequestKind string // kind of the connection's latest request
	LocalPort   int    // 0 if the connection was never opened
	RequestEnd  int64  // offset after the last byte of the latest request
	Written     int64  // offset after the last byte that was written to the connection
	Flushed     int64  // offset after the last byte that the kernel has accepted
}

// Claim is a worker client's statement that an attempt was never sent, so that another attempt may be sent.
type Claim struct {
	At       time.Duration // time of the dispatcher's clock
	Kind     ClaimKind
	Request  string // ID that the client has given the request
	Attempt  int    // number of the attempt within its request
	Worker   string
	Evidence Evidence
}

// String describes the claim in one line.
func (c Claim) String() string {
	e := c.Evidence
	return fmt.Sprintf("at %v: attempt %d to %s %s as never sent; connection %s, sending %s, local port %d, request ends at %d, written %d, flushed %d",
		c.At, c.Attempt, c.Worker, c.Kind, e.Connection, e.RequestKind, e.LocalPort, e.RequestEnd, e.Written, e.Flushed)
}

// maxClaims is how many claims a ClaimLog holds: those of several minutes, if only few attempts are never sent.
const maxClaims = 1024

// ClaimLog holds the latest claims. The zero value is ready to use. A ClaimLog is not safe for concurrent use.
type ClaimLog struct {
	claims []Claim // ring buffer once it holds maxClaims
	next   int     // index at which the next claim is stored once the log is full
}

// Add records a claim. If the log is full, it replaces the oldest claim.
func (l *ClaimLog) Add(claim Claim) {
	if len(l.claims) < maxClaims {
		l.claims = append(l.claims, claim)
		return
	}
	l.claims[l.next] = claim
	l.next = (l.next + 1) % maxClaims
}

// ForRequest returns the claims about the attempts of one request, the oldest first.
func (l *ClaimLog) ForRequest(request string) (found []Claim) {
	for i := range l.claims {
		claim := l.claims[(l.next+i)%len(l.claims)]
		if claim.Request == request {
			found = append(found, claim)
		}
	}
	return found
}
