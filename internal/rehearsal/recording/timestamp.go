package recording

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// commonTimeLayout is the layout of timestamps in the Common log format.
const commonTimeLayout = "02/Jan/2006:15:04:05 -0700"

// The layouts of timestamps in logs, with and without a zone.
var (
	zonedLayouts = []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999999Z0700", "2006-01-02 15:04:05.999999999Z07:00",
		commonTimeLayout}
	localLayouts = []string{"2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"}
)

// parseDuration parses a number of units of scale microseconds each and returns it in microseconds.
func parseDuration(text string, scale float64) (int64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number < 0 || number*scale > float64(day) {
		return notRecorded, errDuration
	}
	return int64(math.Round(number * scale)), nil
}

// addServiceTimes adds the numbers in text, which NGINX logs in seconds for each upstream server, to a
// sum in microseconds. A sum of notRecorded means that there is none yet.
func addServiceTimes(sum int64, text string) (int64, error) {
	isSeparator := func(c rune) bool { return c == ',' || c == ':' || c == ' ' }
	for number := range strings.FieldsFuncSeq(text, isSeparator) {
		if number == "-" {
			continue
		}
		duration, err := parseDuration(number, 1e6)
		if err != nil {
			return sum, err
		}
		sum = max(sum, 0) + duration
	}
	return sum, nil
}

// parsedTime is a time that was read from a log, in microseconds.
type parsedTime struct {
	timestamp  int64 // Unix time
	resolution int64
	foldOffset int64 // see RawEntry.FoldOffset
}

// parseEpoch parses a time since 1970 in units of scale microseconds.
func parseEpoch(text string, scale float64) (parsedTime, error) {
	const yearTenThousand = 253402300799e6 // the last second of the year 9999, µs
	whole, fraction, hasFraction := strings.Cut(text, ".")
	units, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || units < 0 || float64(units)*scale > yearTenThousand {
		return parsedTime{}, errTimestamp
	}
	parsed := parsedTime{timestamp: units * int64(scale), resolution: int64(scale)}
	if hasFraction {
		part, err := strconv.ParseFloat("0."+fraction, 64)
		if err != nil {
			return parsedTime{}, errTimestamp
		}
		parsed.timestamp += int64(math.Round(part * scale))
		parsed.resolution = max(1, parsed.resolution/1000)
	}
	return parsed, nil
}

// parseTimestamp parses a timestamp in one of zonedLayouts or localLayouts. zone applies to the latter.
func parseTimestamp(text string, zone *time.Location) (parsedTime, error) {
	var foldOffset int64
	moment, err := parseLayouts(zonedLayouts, text, zone)
	if err != nil {
		moment, err = parseLayouts(localLayouts, text, zone)
		if err == nil {
			moment, foldOffset = resolveFold(moment)
		}
	}
	if err != nil || moment.Year() < 1970 || moment.Year() > 9999 {
		return parsedTime{}, errTimestamp
	}
	parsed := parsedTime{timestamp: moment.UnixMicro(), resolution: second, foldOffset: foldOffset}
	if strings.ContainsAny(text, ".,") {
		parsed.resolution = millisecond
	}
	return parsed, nil
}

// parseLayouts parses text with the first of the layouts that fits.
func parseLayouts(layouts []string, text string, zone *time.Location) (parsed time.Time, err error) {
	for _, layout := range layouts {
		parsed, err = time.ParseInLocation(layout, text, zone)
		if err == nil {
			return parsed, nil
		}
	}
	return parsed, err
}

// resolveFold determines whether a local time occurs twice because summer time ends. If so, it returns
// the first of the two times and how much later the second one is, in microseconds; otherwise the time
// itself and 0.
func resolveFold(local time.Time) (time.Time, int64) {
	sameClock := func(t time.Time) bool { return t.Hour() == local.Hour() && t.Minute() == local.Minute() }
	earlier := local.Add(-time.Hour)
	switch {
	case sameClock(earlier):
		local = earlier
	case !sameClock(local.Add(time.Hour)):
		return local, 0
	}
	return local, time.Hour.Microseconds()
}

// parseStatus parses an HTTP status of three digits.
func parseStatus(text string) (int, error) {
	if len(text) != 3 || text[0] < '0' || text[0] > '9' {
		return 0, errStatus
	}
	status, err := strconv.Atoi(text)
	if err != nil {
		return 0, errStatus
	}
	return status, nil
}

// parseBodyBytes parses a positive number of bytes. If text is anything else, it returns size.
func parseBodyBytes(text string, size int) int {
	if n, err := strconv.Atoi(text); err == nil && n > 0 {
		return n
	}
	return size
}
