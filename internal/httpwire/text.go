package httpwire

import "bytes"

const (
	maxIdentifierBytes = 128
	maxDigits          = 12 // of a number: enough for any length or time, and few enough to fit into an int
)

// EqualFold reports whether b and s are equal, ignoring the case of ASCII letters.
func EqualFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// IsIdentifier reports whether b can be a request's correlation ID or idempotency key, and can be written to a header
// field without escaping: 1 to 128 letters, digits or -._:~+/=@.
func IsIdentifier(b []byte) bool {
	for _, c := range b {
		if !isAlphanumeric(c) && bytes.IndexByte([]byte("-._:~+/=@"), c) < 0 {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxIdentifierBytes
}

func isAlphanumeric(c byte) bool {
	c = lower(c)
	return 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
}

// isTarget reports whether a request's target is a path that can be forwarded without escaping.
func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
}

// isToken reports whether b is a token of RFC 9110, as methods and field names are.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// ParseNumber parses a decimal number without a sign. ok is false if b has another character than a digit, no digit, or
// more than maxDigits digits.
func ParseNumber(b []byte) (n int, ok bool) {
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}
