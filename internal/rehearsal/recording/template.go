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
	fieldTimeSeconds // seconds since 1970, with or without a fraction
	fieldTimeMilliseconds
	fieldTimeMicroseconds
	fieldTimePiece // a part of the time, such as the day, in the field's layout; joinTime joins the parts
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
	fieldServiceTimes // in seconds, one number for each upstream server that was tried
	fieldClient
	fieldRequestID
	fieldBodyBytes
)

// isTime reports whether the field contains the time of the entry or a part of it, other than a fraction
// of the second.
func (k fieldKind) isTime() bool { return k >= fieldTimeLocal && k <= fieldTimePiece }

// microseconds returns the number of microseconds in the unit of the field's value.
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
	layout string // layout of package time, only for fieldTimePiece
	prefix string // literal text before the field
	quoted bool   // the field is in quotes, and a backslash escapes characters in it
	suffix string // literal text after the field; empty if the field extends to the end of the line
}

// templateState holds values of the current line that parseTemplate combines once all fields are parsed.
type templateState struct {
	timeSeen    bool     // RawEntry.Timestamp is set
	pieces      []string // values of the fieldTimePiece fields
	layouts     []string // layouts of these fields
	hasFraction bool
	fraction    int64 // fraction of the second, in microseconds
	query       string
}

// reset clears the state before the next line. It keeps the buffers.
func (s *templateState) reset() {
	s.timeSeen = false
	s.pieces = s.pieces[:0]
	s.layouts = s.layouts[:0]
	s.hasFraction = false
	s.query = ""
}

// appendField adds a field after the literal text, and resets that text.
func (f *Format) appendField(kind fieldKind, layout string, literal *strings.Builder) {
	var previous *templateField
	if len(f.template) > 0 {
		previous = &f.template[len(f.template)-1]
	}
	if previous != nil && previous.kind == fieldPath && kind == fieldQuery && literal.Len() == 0 {
		previous.kind = fieldTarget // Apache's %U%q is the whole target, without a separator
		return
	}
	before := literal.String()
	literal.Reset()
	if previous != nil {
		previous.suffix = before
	}
	f.template = append(f.template, templateField{
		kind: kind, layout: layout, prefix: before, quoted: strings.HasSuffix(before, `"`),
	})
}

// finishTemplate sets the literal text after the last field. It checks that text separates the fields,
// and that they include the time, the method and the target.
func (f *Format) finishTemplate(end string) error {
	if len(f.template) == 0 {
		return errors.New("no field")
	}
	f.template[len(f.template)-1].suffix = end
	var hasTime, hasMethod, hasTarget bool
	for i, field := range f.template {
		if i > 0 && field.prefix == "" {
			return fmt.Errorf("field %d: no text separates it from the previous field", i+1)
		}
		hasTime = hasTime || field.kind.isTime()
		hasMethod = hasMethod || field.kind == fieldRequestLine || field.kind == fieldMethod
		hasTarget = hasTarget || field.kind == fieldRequestLine || field.kind == fieldTarget || field.kind == fieldPath
	}
	switch {
	case !hasTime:
		return errors.New("no field contains the time")
	case !hasMethod || !hasTarget:
		return errors.New("no field contains the request line, or no fields contain the method and the target")
	}
	return nil
}

// parseTemplate parses a line of a text log field by field.
func (f *Format) parseTemplate(line string, raw *RawEntry) error {
	f.state.reset()
	rest, ok := strings.CutPrefix(line, f.template[0].prefix)
	if !ok {
		return fmt.Errorf("no %q at the start", f.template[0].prefix)
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
	if rest != "" && !f.allowTrailingText {
		return errors.New("unexpected text after the last field")
	}
	if err := f.joinTime(raw); err != nil {
		return err
	}
	raw.appendQuery(f.state.query)
	return nil
}

// cutField splits text into the value of the field with the given index and the text after the literal
// text that ends the field.
func (f *Format) cutField(index int, text string) (value, rest string, err error) {
	field := &f.template[index]
	switch {
	case field.quoted && strings.HasPrefix(field.suffix, `"`):
		return f.cutQuotedField(index, text)
	case field.suffix == "":
		if f.allowTrailingText {
			value, rest, _ = strings.Cut(text, " ")
			return value, rest, nil
		}
		return text, "", nil
	}
	value, rest, ok := strings.Cut(text, field.suffix)
	if !ok {
		return "", "", fmt.Errorf("field %d: no %q behind it", index+1, field.suffix)
	}
	return value, rest, nil
}

// cutQuotedField is cutField for a field in quotes.
func (f *Format) cutQuotedField(index int, text string) (value, rest string, err error) {
	field := &f.template[index]
	end := closingQuote(text)
	if end < 0 {
		return "", "", fmt.Errorf("field %d: no closing quote", index+1)
	}
	value = text[:end]
	rest = text[end:]
	if f.allowTrailingText && index == len(f.template)-1 {
		rest = rest[1:]
	} else {
		var ok bool
		rest, ok = strings.CutPrefix(rest, field.suffix)
		if !ok {
			return "", "", fmt.Errorf("field %d: no %q behind it", index+1, field.suffix)
		}
	}
	if field.kind != fieldSkipped && strings.IndexByte(value, '\\') >= 0 {
		value = unescape(value)
	}
	return value, rest, nil
}

// parseField parses the value of one field and stores it in raw or in the template's state.
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

// parseTimeField parses a field that contains the time or a part of it.
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
		const fractionBits = 20 // accepts values up to 1_048_575
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

// parseLocalTime parses a time in the layout of the Common format. It caches the last result, since
// consecutive lines mostly have the same time.
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

// joinTime sets the time of an entry from the fields that contain parts of it, if there are any.
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

// closingQuote returns the index of the quote that ends a quoted text, or -1 if there is none. A quote
// after an odd number of backslashes is escaped.
func closingQuote(text string) int {
	searchFrom := 0
	for {
		distance := strings.IndexByte(text[searchFrom:], '"')
		if distance < 0 {
			return -1
		}
		quote := searchFrom + distance
		beforeBackslashes := strings.TrimRight(text[:quote], `\`)
		backslashes := quote - len(beforeBackslashes)
		if backslashes%2 == 0 {
			return quote
		}
		searchFrom = quote + 1
	}
}

// unescape decodes the escape sequences that NGINX and Apache write: \xHH, \", \\, \n, \t, \r.
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

// hexByteDigits is the number of digits after \x.
const hexByteDigits = 2

// parseHexByte parses the two hexadecimal digits at the start of text. ok is false if text does not
// start with two such digits.
func parseHexByte(text string) (value byte, ok bool) {
	if len(text) < hexByteDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(text[:hexByteDigits], 16, 8)
	return byte(number), err == nil
}

// unescapedByte returns the byte that the escape sequence of a backslash and the given byte stands for.
// A byte other than n, t and r stands for itself.
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
