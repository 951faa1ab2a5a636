package replay

import "strings"

// Reason says why an entry was not served, in the dispatcher's words or in those of an error.
type Reason string

// The reasons for which requests are lost or not sent.
const (
	reasonTimeout    Reason = "lost: no answer in time"
	reasonUnreadable Reason = "lost: an answer that cannot be read"
	reasonClosed     Reason = "lost: the connection ended"
	reasonUnsent     Reason = "not sent"
)

const (
	maxReasons     = 32 // further ones are counted together
	maxReasonBytes = 120
	otherReasons   = "others"
)

// countReason counts a reason by its class and first line.
func countReason(counts map[string]int, class string, reason Reason) {
	key, _, _ := strings.Cut(strings.TrimSpace(class+": "+string(reason)), "\n")
	if len(key) > maxReasonBytes {
		key = key[:maxReasonBytes]
	}
	if _, known := counts[key]; !known && len(counts) >= maxReasons {
		key = otherReasons
	}
	counts[key]++
}

// normalizeReason replaces numbers in the first line of a text by N, so that similar reasons are counted together.
func normalizeReason(text string) Reason {
	firstLine, _, _ := strings.Cut(text, "\n")
	var normalized strings.Builder
	inNumber := false
	for _, char := range firstLine {
		isDigit := char >= '0' && char <= '9'
		isDecimalPoint := inNumber && char == '.'
		if isDigit || isDecimalPoint {
			if !inNumber {
				normalized.WriteByte('N')
			}
			inNumber = true
			continue
		}
		inNumber = false
		normalized.WriteRune(char)
	}
	return Reason(normalized.String())
}
