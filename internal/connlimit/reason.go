package connlimit

// Reason is why a connection or a request is rejected.
type Reason uint8

// The reasons.
const (
	Allowed         Reason = iota // it is not rejected
	Blocked                       // by Block
	AddressOpen                   // Limits.Open of the address
	AddressOpening                // Limits.Opening
	AddressRate                   // Limits.PerSecond and Burst
	AddressHalfRead               // Limits.HalfRead
	AddressBytes                  // Limits.Bytes
	PrefixOpen                    // Limits.Open of the prefix, and so on
	PrefixOpening
	PrefixRate
	PrefixHalfRead
	PrefixBytes
	FairShare     // more than an equal share, under pressure
	Full          // no capacity for an unknown address
	FullKnown     // none for a trusted one, which may be admitted once another is evicted
	TotalRate     // Config.Rate
	NoDescriptors // the descriptors are exhausted, or nearly
	BadHeader     // no readable PROXY header from a trusted proxy
	Slow          // a request arrives below Config.MinRate
	Stalled       // the client does not read its answers
	Greedy        // the client uses more memory than its share
	NumReasons    // the number of reasons
)

// reasonNames are keys of the admin API's JSON.
var reasonNames = [NumReasons]string{
	Allowed:         "fine",
	Blocked:         "barred",
	AddressOpen:     "address_open",
	AddressOpening:  "address_opening",
	AddressRate:     "address_rate",
	AddressHalfRead: "address_half",
	AddressBytes:    "address_bytes",
	PrefixOpen:      "prefix_open",
	PrefixOpening:   "prefix_opening",
	PrefixRate:      "prefix_rate",
	PrefixHalfRead:  "prefix_half",
	PrefixBytes:     "prefix_bytes",
	FairShare:       "fair_share",
	Full:            "full",
	FullKnown:       "full_known",
	TotalRate:       "total_rate",
	NoDescriptors:   "descriptors",
	BadHeader:       "bad_proxy_header",
	Slow:            "too_slow",
	Stalled:         "answers_not_read",
	Greedy:          "too_greedy",
}

// String returns the reason's key in the admin API's JSON.
func (r Reason) String() string { return reasonNames[r] }

// limitReasons are the reasons that stand for the fields of Limits on connections.
type limitReasons struct{ open, opening, rate Reason }

var (
	addressReasons = limitReasons{AddressOpen, AddressOpening, AddressRate}
	prefixReasons  = limitReasons{PrefixOpen, PrefixOpening, PrefixRate}
)

// CountReason counts a rejection that the Limiter does not decide on.
func (l *Limiter) CountReason(reason Reason) {
	l.mu.Lock()
	l.rejections[reason]++
	l.mu.Unlock()
}

// reject counts a rejection and returns its reason.
func (l *Limiter) reject(reason Reason) Reason {
	l.rejections[reason]++
	return reason
}
