package replay

import "strings"

// Reason says why an entry was not served: the text of the dispatcher's answer, the text of an error, or
// one of the constants below.
type Reason string

// The reasons for which requests are lost or not sent.
const (
	reasonTimeout    Reason = "lost: no answer in time"
	reasonUnreadable Reason = "lost: an answer that cannot be read"
	reasonClosed     Reason = "lost: the connection ended"
	reasonUnsent     Reason = "not sent"
)

const (
	maxReasons     = 32  // distinct reasons that are counted; further ones are counted as otherReasons
	maxReasonBytes = 120 // longer reasons are truncated
	otherReasons   = "others"
)

// countReason counts a reason under the class and the reason's first line.
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

// normalizeReason returns the first line of a text with each number replaced by N, so that reasons that
// differ only in numbers are counted together.
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
