package recording

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// fieldKind says what a field of a log template holds.
type fieldKind uint8

const (
	fieldSkipped fieldKind = iota
	fieldTimeLocal
	fieldTimeISO
	fieldTimeSeconds // since 1970, with or without a fraction
	fieldTimeMilliseconds
	fieldTimeMicroseconds
	fieldTimePiece // one of several fields that make up the time, in the field's layout
	fieldFractionMilliseconds
	fieldFractionMicroseconds
	fieldRequestLine
	fieldMethod
	fieldTarget
	fieldPath
	fieldQuery
	fieldStatus
	fieldDurationSeconds
	fieldDurationMilliseconds
	fieldDurationMicroseconds
	fieldServiceTimes // seconds, one number for each upstream server that was tried
	fieldClient
	fieldRequestID
	fieldBodyBytes
)

// isTime reports whether a field of the kind gives the time of the entry.
func (k fieldKind) isTime() bool { return k >= fieldTimeLocal && k <= fieldTimePiece }

// microseconds is the number of microseconds in a unit of the field's number.
func (k fieldKind) microseconds() float64 {
	switch k {
	case fieldTimeMilliseconds, fieldDurationMilliseconds:
		return 1e3
	case fieldTimeMicroseconds, fieldDurationMicroseconds:
		return 1
	}
	return 1e6
}

// templateField is a field of a log template and the literal text around it.
type templateField struct {
	kind   fieldKind
	layout string // of package time, for fieldTimePiece
	before string // literal text in front of the field
	quoted bool   // the field is in quotes, within which a backslash escapes
	end    string // literal text behind the field; empty: it ends with the line
}

// templateState is what has been read of a line beside its RawEntry.
type templateState struct {
	timeSeen    bool
	pieces      []string // values of fieldTimePiece
	layouts     []string // their layouts
	hasFraction bool
	fraction    int64 // of the second, microseconds
	query       string
}

// reset prepares for the next line; the buffers are reused.
func (s *templateState) reset() {
	s.timeSeen = false
	s.pieces = s.pieces[:0]
	s.layouts = s.layouts[:0]
	s.hasFraction = false
	s.query = ""
}

// appendField adds a field behind the literal text, which it empties.
func (f *Format) appendField(kind fieldKind, layout string, literal *strings.Builder) {
	var previous *templateField
	if len(f.template) > 0 {
		previous = &f.template[len(f.template)-1]
	}
	if previous != nil && previous.kind == fieldPath && kind == fieldQuery && literal.Len() == 0 {
		previous.kind = fieldTarget // %U%q is one text
		return
	}
	before := literal.String()
	literal.Reset()
	if previous != nil {
		previous.end = before
	}
	f.template = append(f.template, templateField{
		kind: kind, layout: layout, before: before, quoted: strings.HasSuffix(before, `"`),
	})
}

// finishTemplate sets the text behind the last field and checks that the template can be
// parsed and gives the time and the request.
func (f *Format) finishTemplate(end string) error {
	if len(f.template) == 0 {
		return errors.New("no field")
	}
	f.template[len(f.template)-1].end = end
	var hasTime, hasMethod, hasTarget bool
	for i, field := range f.template {
		if i > 0 && field.before == "" {
			return fmt.Errorf("field %d: nothing parts it from the one before", i+1)
		}
		hasTime = hasTime || field.kind.isTime()
		hasMethod = hasMethod || field.kind == fieldRequestLine || field.kind == fieldMethod
		hasTarget = hasTarget || field.kind == fieldRequestLine || field.kind == fieldTarget || field.kind == fieldPath
	}
	switch {
	case !hasTime:
		return errors.New("no field tells the time")
	case !hasMethod || !hasTarget:
		return errors.New("no field tells the request, or its method and target")
	}
	return nil
}

// parseTemplate reads a line field by field.
func (f *Format) parseTemplate(line string, raw *RawEntry) error {
	f.state.reset()
	rest, ok := strings.CutPrefix(line, f.template[0].before)
	if !ok {
		return fmt.Errorf("no %q at the start", f.template[0].before)
	}
	for i := range f.template {
		var value string
		var err error
		value, rest, err = f.cutField(i, rest)
		if err != nil {
			return err
		}
		field := &f.template[i]
		if field.kind == fieldSkipped {
			continue
		}
		if err := f.parseField(field, value, raw); err != nil {
			return err
		}
	}
	if rest != "" && !f.lenient {
		return errors.New("more text than the format has")
	}
	if err := f.joinTime(raw); err != nil {
		return err
	}
	raw.appendQuery(f.state.query)
	return nil
}

// cutField splits text into the value of the field with the given index and what follows it.
func (f *Format) cutField(index int, text string) (value, rest string, err error) {
	field := &f.template[index]
	switch {
	case field.quoted && strings.HasPrefix(field.end, `"`):
		return f.cutQuotedField(index, text)
	case field.end == "":
		if f.lenient {
			value, rest, _ = strings.Cut(text, " ")
			return value, rest, nil
		}
		return text, "", nil
	}
	value, rest, ok := strings.Cut(text, field.end)
	if !ok {
		return "", "", fmt.Errorf("field %d: no %q behind it", index+1, field.end)
	}
	return value, rest, nil
}

// cutQuotedField is cutField for a field in quotes.
func (f *Format) cutQuotedField(index int, text string) (value, rest string, err error) {
	field := &f.template[index]
	end := closingQuote(text)
	if end < 0 {
		return "", "", fmt.Errorf("field %d: its quotes do not end", index+1)
	}
	value = text[:end]
	rest = text[end:]
	if f.lenient && index == len(f.template)-1 {
		rest = rest[1:]
	} else {
		var ok bool
		rest, ok = strings.CutPrefix(rest, field.end)
		if !ok {
			return "", "", fmt.Errorf("field %d: no %q behind it", index+1, field.end)
		}
	}
	if field.kind != fieldSkipped && strings.IndexByte(value, '\\') >= 0 {
		value = unescape(value)
	}
	return value, rest, nil
}

// parseField takes the value of one field into raw or the template's state.
func (f *Format) parseField(field *templateField, value string, raw *RawEntry) (err error) {
	empty := value == "" || value == "-"
	switch field.kind {
	case fieldTimeLocal, fieldTimeISO, fieldTimeSeconds, fieldTimeMilliseconds, fieldTimeMicroseconds, fieldTimePiece,
		fieldFractionMilliseconds, fieldFractionMicroseconds:
		return f.parseTimeField(field, value, raw)
	case fieldRequestLine:
		return raw.setRequestLine(value)
	case fieldMethod:
		if !isMethodToken(value) {
			return errRequestLine
		}
		raw.Method = value
	case fieldTarget:
		raw.Target = value
	case fieldPath:
		if raw.Target == "" {
			raw.Target = value
		}
	case fieldQuery:
		f.state.query = value
	case fieldStatus:
		raw.Status, err = parseStatus(value)
	case fieldDurationSeconds, fieldDurationMilliseconds, fieldDurationMicroseconds:
		if !empty {
			raw.Duration, err = parseDuration(value, field.kind.microseconds())
		}
	case fieldServiceTimes:
		raw.ServiceTime, err = addServiceTimes(raw.ServiceTime, value)
	case fieldClient:
		raw.Client = value
	case fieldRequestID:
		if !empty {
			raw.RequestID = value
		}
	case fieldBodyBytes:
		raw.BodyBytes = parseBodyBytes(value, raw.BodyBytes)
	}
	return err
}

// parseTimeField takes a field that gives the time or a part of it.
func (f *Format) parseTimeField(field *templateField, value string, raw *RawEntry) (err error) {
	var parsed parsedTime
	switch field.kind {
	case fieldTimeLocal:
		raw.Timestamp, err = f.parseLocalTime(value)
		raw.Resolution = second
		raw.FoldOffset = 0
		f.state.timeSeen = true
	case fieldTimeISO:
		parsed, err = parseTimestamp(value, f.zone)
		raw.Timestamp = parsed.timestamp
		raw.Resolution = parsed.resolution
		raw.FoldOffset = parsed.foldOffset
		f.state.timeSeen = true
	case fieldTimeSeconds, fieldTimeMilliseconds, fieldTimeMicroseconds:
		parsed, err = parseEpoch(value, field.kind.microseconds())
		raw.Timestamp = parsed.timestamp
		raw.Resolution = parsed.resolution
		raw.FoldOffset = parsed.foldOffset
		f.state.timeSeen = true
	case fieldTimePiece:
		f.state.pieces = append(f.state.pieces, value)
		f.state.layouts = append(f.state.layouts, field.layout)
	case fieldFractionMilliseconds, fieldFractionMicroseconds:
		const fractionBits = 20 // up to 1_048_575
		fraction, err := strconv.ParseUint(value, 10, fractionBits)
		if err != nil {
			return errTimestamp
		}
		f.state.hasFraction = true
		f.state.fraction = int64(fraction)
		if field.kind == fieldFractionMilliseconds {
			f.state.fraction *= millisecond
		}
	}
	return err
}

// parseLocalTime parses a time of the Common format. Neighbouring lines mostly have the same.
func (f *Format) parseLocalTime(text string) (int64, error) {
	if text != f.cachedText {
		parsed, err := time.ParseInLocation(commonTimeLayout, text, f.zone)
		if err != nil {
			return 0, errTimestamp
		}
		f.cachedText = strings.Clone(text)
		f.cachedTime = parsed.UnixMicro()
	}
	return f.cachedTime, nil
}

// joinTime completes the time of an entry from the fields that give parts of it.
func (f *Format) joinTime(raw *RawEntry) error {
	state := &f.state
	if len(state.pieces) > 0 {
		layout := strings.Join(state.layouts, " ")
		parsed, err := time.ParseInLocation(layout, strings.Join(state.pieces, " "), f.zone)
		if err != nil {
			return errTimestamp
		}
		if !strings.Contains(layout, "-0700") && !strings.Contains(layout, "MST") {
			parsed, raw.FoldOffset = resolveFold(parsed)
		}
		raw.Timestamp = parsed.UnixMicro()
		raw.Resolution = second
		if parsed.Nanosecond() != 0 {
			raw.Resolution = millisecond
		}
		state.timeSeen = true
	}
	if !state.timeSeen {
		return errTimestamp
	}
	if state.hasFraction {
		raw.Timestamp += state.fraction
		raw.Resolution = millisecond
	}
	return nil
}

// closingQuote returns the index of the quote that ends a quoted text; -1: there is none. A quote
// behind an odd number of backslashes is escaped.
func closingQuote(text string) int {
	searchFrom := 0
	for {
		length := strings.IndexByte(text[searchFrom:], '"')
		if length < 0 {
			return -1
		}
		quote := searchFrom + length
		unescaped := strings.TrimRight(text[:quote], `\`)
		backslashes := quote - len(unescaped)
		if backslashes%2 == 0 {
			return quote
		}
		searchFrom = quote + 1
	}
}

// unescape reverts the escapes of NGINX and Apache: \xHH, \", \\, \n, \t, \r.
func unescape(text string) string {
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' || i+1 == len(text) {
			out = append(out, text[i])
			continue
		}
		i++
		if text[i] == 'x' {
			if value, ok := parseHexByte(text[i+1:]); ok {
				out = append(out, value)
				i += hexByteDigits
				continue
			}
		}
		out = append(out, unescapedByte(text[i]))
	}
	return string(out)
}

// hexByteDigits is the number of digits behind \x.
const hexByteDigits = 2

// parseHexByte reads the two hexadecimal digits at the start of text; ok is false if there are none.
func parseHexByte(text string) (value byte, ok bool) {
	if len(text) < hexByteDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(text[:hexByteDigits], 16, 8)
	return byte(number), err == nil
}

// unescapedByte returns the byte that a backslash and a letter stand for; others stand for themselves.
func unescapedByte(letter byte) byte {
	switch letter {
	case 'n':
		return '\n'
	case 't':
		return '\t'
	case 'r':
		return '\r'
	}
	return letter
}
