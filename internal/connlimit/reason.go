package connlimit

// Reason is why a connection or a request is rejected.
type Reason uint8

// The reasons.
const (
	Allowed         Reason = iota // the connection or request is not rejected
	Blocked                       // the address is blocked by Block
	AddressOpen                   // Limits.Open of the address is exceeded
	AddressOpening                // Limits.Opening of the address is exceeded
	AddressRate                   // Limits.PerSecond and Burst of the address are exceeded
	AddressHalfRead               // Limits.HalfRead of the address is exceeded
	AddressBytes                  // Limits.Bytes of the address is exceeded
	PrefixOpen                    // Limits.Open of the prefix is exceeded; the next four are its other limits
	PrefixOpening
	PrefixRate
	PrefixHalfRead
	PrefixBytes
	FairShare           // under pressure, the address has its fair share of connections already
	Full                // no capacity for an unknown address
	FullTrusted         // no capacity for a trusted address, which may be admitted after an eviction
	TotalRate           // Config.Rate is exceeded
	NoDescriptors       // no descriptors, or almost none, are left
	BadHeader           // a trusted proxy has not sent a valid PROXY header
	SlowRequest         // a request arrives more slowly than Config.MinRate
	ResponsesUnread     // the client does not read its responses
	MemoryShareExceeded // the client uses more memory than its share
	NumReasons          // the number of reasons
)

// reasonNames are the keys of the reasons in the admin API's JSON.
var reasonNames = [NumReasons]string{
	Allowed:             "fine",
	Blocked:             "barred",
	AddressOpen:         "address_open",
	AddressOpening:      "address_opening",
	AddressRate:         "address_rate",
	AddressHalfRead:     "address_half",
	AddressBytes:        "address_bytes",
	PrefixOpen:          "prefix_open",
	PrefixOpening:       "prefix_opening",
	PrefixRate:          "prefix_rate",
	PrefixHalfRead:      "prefix_half",
	PrefixBytes:         "prefix_bytes",
	FairShare:           "fair_share",
	Full:                "full",
	FullTrusted:         "full_known",
	TotalRate:           "total_rate",
	NoDescriptors:       "descriptors",
	BadHeader:           "bad_proxy_header",
	SlowRequest:         "too_slow",
	ResponsesUnread:     "answers_not_read",
	MemoryShareExceeded: "too_greedy",
}

// String returns the reason's key in the admin API's JSON.
func (r Reason) String() string { return reasonNames[r] }

// limitReasons contains the reasons for the limits on connections, which are fields of
// Limits.
type limitReasons struct{ open, opening, rate Reason }

var (
	addressReasons = limitReasons{AddressOpen, AddressOpening, AddressRate}
	prefixReasons  = limitReasons{PrefixOpen, PrefixOpening, PrefixRate}
)

// CountReason counts a rejection that was not decided by the Limiter.
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
