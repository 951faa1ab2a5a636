package recording

import (
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// maxDetectionLines is the number of lines from which the format of a log is detected.
const maxDetectionLines = 32

// byteOrderMark is the UTF-8 byte order mark, which may precede the content of a file.
const byteOrderMark = "\xef\xbb\xbf"

// detectFormat determines the format of a file from its first bytes. If no known format fits, it
// returns Combined, so that each line is reported as malformed.
func detectFormat(head string, zone *time.Location) (*Format, error) {
	text := strings.TrimLeft(strings.TrimPrefix(head, byteOrderMark), " \t\r\n\x00")
	lines := strings.Split(text, "\n")
	if len(lines) > 1 {
		lines = lines[:min(len(lines)-1, maxDetectionLines)] // the last line may be incomplete
	}
	if strings.HasPrefix(text, "{") {
		return Compile(detectJSON(lines[0]), zone)
	}
	format, err := detectTemplate(lines, zone)
	if format == nil && err == nil {
		return Compile("combined", zone)
	}
	return format, err
}

// detectJSON returns the name of the format of a file whose first line begins with a brace.
func detectJSON(line string) string {
	compact := strings.ReplaceAll(line, " ", "")
	switch {
	case fastjson.Validate(strings.TrimSpace(line)) != nil, strings.HasPrefix(compact, `{"log":{`):
		return "har"
	case strings.Contains(line, `"DownstreamStatus"`), strings.Contains(line, `"RequestPath"`):
		return "traefik"
	case strings.Contains(line, `"request":{`), strings.Contains(line, `"request": {`):
		return "caddy"
	}
	return "json"
}

// detectTemplate returns the text format that can parse the most lines, or nil if none can parse any.
func detectTemplate(lines []string, zone *time.Location) (*Format, error) {
	var best *Format
	bestParsed := 0
	for _, name := range []string{"combined", "common"} {
		format, err := Compile(name, zone)
		if err != nil {
			return nil, err
		}
		result := tryFormat(format, lines)
		if result.parsed <= bestParsed {
			continue
		}
		bestParsed = result.parsed
		best = format
		if name != "combined" {
			continue
		}
		best, err = Compile(result.combinedVariant(), zone)
		if err != nil {
			return nil, err
		}
	}
	return best, nil
}

// trialResult counts the lines that a format can parse.
type trialResult struct {
	parsed            int
	endInSeconds      int // parsed lines that end in a number with a fraction
	endInMicroseconds int // parsed lines that end in a whole number
}

// combinedVariant returns the name of the variant of Combined that most of the parsed lines have. A
// fraction at the end of a line is a duration in seconds, a whole number one in microseconds.
func (r *trialResult) combinedVariant() string {
	switch {
	case r.endInSeconds*2 > r.parsed:
		return "combined+s"
	case r.endInMicroseconds*2 > r.parsed:
		return "combined+us"
	}
	return "combined"
}

func tryFormat(format *Format, lines []string) (result trialResult) {
	for _, line := range lines {
		var raw RawEntry
		if format.Parse(line, &raw) != nil {
			continue
		}
		result.parsed++
		last := strings.TrimSpace(line[strings.LastIndexByte(line, '"')+1:])
		last, _, _ = strings.Cut(last, " ")
		switch {
		case last == "" || strings.Trim(last, "0123456789.") != "":
		case strings.Contains(last, "."):
			result.endInSeconds++
		default:
			result.endInMicroseconds++
		}
	}
	return result
}
