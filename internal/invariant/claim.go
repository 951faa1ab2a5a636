package invariant

import (
	"fmt"
	"time"
)

// Reported is the most that a worker client has reported of an attempt so far.
type Reported uint8

// What may have been reported.
const (
	NothingReported Reported = iota
	SentReported             // its last byte was sent
	StartReported            // its worker has begun to run it
)

// String returns what was reported, as it is written in logs.
func (r Reported) String() string {
	return [...]string{"nothing was reported", "its last byte was reported as sent", "its worker was reported to run it"}[r]
}

// ClaimKind says what a worker client does with an attempt of which it claims that it was never sent.
type ClaimKind string

// The kinds of claims.
const (
	ClaimEnded     ClaimKind = "ended"     // it reports the end of the attempt
	ClaimCancelled ClaimKind = "cancelled" // it was asked to stop the attempt
	ClaimMoved     ClaimKind = "moved"     // it sends the attempt on another connection
)

// Evidence is what a claim rests on: the state of the connection that had the attempt. Offsets count the bytes of the
// connection.
type Evidence struct {
	Connection string // how far its exchange was
	Sending    string // what its latest request is
	LocalPort  int    // 0: the connection never opened
	RequestEnd int64  // behind the last byte of the latest request
	Written    int64  // behind what was given to the connection
	Flushed    int64  // behind what the kernel has taken
}

// Claim is a worker client's statement that an attempt was never sent, so that another one may be.
type Claim struct {
	At       time.Duration // of the dispatcher's clock
	Kind     ClaimKind
	Request  string // the ID that its client has given it
	Attempt  int    // number of the attempt among those of its request
	Worker   string
	Evidence Evidence
}

// String describes the claim in one line.
func (c Claim) String() string {
	e := c.Evidence
	return fmt.Sprintf("at %v: attempt %d to %s %s as never sent; connection %s, sending %s, local port %d, request ends at %d, written %d, flushed %d",
		c.At, c.Attempt, c.Worker, c.Kind, e.Connection, e.Sending, e.LocalPort, e.RequestEnd, e.Written, e.Flushed)
}

// maxClaims is how many claims a ClaimLog holds: those of some minutes, where few attempts are not sent.
const maxClaims = 1024

// ClaimLog holds the latest claims. The zero value is ready to use. A ClaimLog is not safe for concurrent use.
type ClaimLog struct {
	claims []Claim // a ring once it has maxClaims
	next   int     // where the next claim goes
}

// Add records a claim, in place of the oldest one if the log is full.
func (l *ClaimLog) Add(claim Claim) {
	if len(l.claims) < maxClaims {
		l.claims = append(l.claims, claim)
		return
	}
	l.claims[l.next] = claim
	l.next = (l.next + 1) % maxClaims
}

// Of returns the claims about the attempts of one request, the oldest first.
func (l *ClaimLog) Of(request string) (found []Claim) {
	for i := range l.claims {
		claim := l.claims[(l.next+i)%len(l.claims)]
		if claim.Request == request {
			found = append(found, claim)
		}
	}
	return found
}
