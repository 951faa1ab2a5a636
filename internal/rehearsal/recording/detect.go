package recording

import (
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// maxDetectionLines are looked at to find the format of a log.
const maxDetectionLines = 32

// byteOrderMark may precede a text in UTF-8.
const byteOrderMark = "\xef\xbb\xbf"

// detectFormat finds the format of a source from its first bytes. A log of no known format is
// taken for Combined, so that each of its lines is reported as malformed.
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

// detectJSON names the format of a source from its first line, which begins with a brace.
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

// detectTemplate finds the template that most lines fit; nil: none fits any.
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
	endInSeconds      int // of those, the ones that end in a number with a fraction
	endInMicroseconds int // of those, the ones that end in a whole number
}

// combinedVariant names the variant of Combined that most of the lines are in, by the durations at
// their ends.
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
