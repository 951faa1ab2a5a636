package recording

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// This file owns the forms of a line: templates in the words of NGINX and
// Apache, and JSON by a map of fields. It turns one line into a Raw and must
// never pass over a line that it cannot read without saying why, nor put any of
// the line's text into that why.

// RawEntry is what one line or HAR entry tells. Times are microseconds.
type RawEntry struct {
	Timestamp       int64 // the stamp, Unix time
	Resolution     int64 // how fine the stamp is: 1_000_000 where it is whole seconds
	Duration int64 // from arrival to end; -1: not told
	ServiceTime  int64 // of that, the part that the servers behind needed; -1: not told
	Method   string
	Target   string // path and query
	Client   string
	RequestID       string // the request's id, where the log has one
	Status   int
	BodyBytes     int    // bytes of the request's body; 0: not told
	StampsArrival  bool   // At is the arrival; else the end
	FoldOffset     int64  // the stamp names no zone and its hour comes twice: how much later At may be
	Ignored  string // why it never reached a server; empty: it did
	Repairs  Repair
}

// Repair is a set of what was wrong with an accepted entry, as bits.
type Repair uint32

// The repairs. Their order is that of the canonical file's bits.
const (
	DrawnDuration Repair = 1 << iota // had no duration: one was drawn
	SyntheticKey                        // its member was wholly redacted
	ClockStepped                     // its clock had stepped back
	OutlierTimestamp                         // its stamp alone stood far from those around it
	InvalidUTF8                          // its target was no valid UTF-8
	LeadingNUL                       // bytes of zero stood before it
	EndTakenAsArrival                     // its stamp marks the end and no duration was told
	RepeatedHour                       // its hour came twice as summer time ended, and this was the second
)

// RepairNames names the bits in their order.
var RepairNames = []string{"duration drawn", "key made up", "clock stepped back", "odd stamp", "invalid UTF-8",
	"leading NUL bytes", "end taken as arrival", "hour that came twice"}

// Format is one form of a line, as Compile makes it.
type Format struct {
	Name    string
	HAR     bool
	StampsArrival bool // its stamps mark the arrival; else the end

	parts   []part // a template
	lenient bool   // text may follow the last part
	json    *fieldMap
	auto    bool

	zone     *time.Location
	lastText string // the stamp parsed last, and what it was
	lastTime int64
	pieces   []string // of a time that several fields tell
	layouts  []string
	parser   fastjson.Parser
}

type field uint8

const (
	fSkip field = iota
	fTimeLocal
	fTimeISO
	fTimeSeconds // since 1970, with or without a fraction
	fTimeMillis
	fTimeMicros
	fTimePiece // in the layout that the part holds
	fFracMillis
	fFracMicros
	fRequest
	fMethod
	fTarget
	fPath
	fQuery
	fStatus
	fSeconds // duration
	fMillis
	fMicros
	fService // seconds, several added
	fClient
	fID
	fBody
)

// part is a field and the literal text behind it.
type part struct {
	kind   field
	layout string
	before string // literal
	quoted bool   // it stands in quotes, within which a backslash escapes
	end    string // literal that ends it; empty: the line's end
}

const (
	combinedText = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "$http_user_agent"`
	commonText   = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent`
)

// Formats lists what Compile takes, a line each.
var Formats = []string{
	"auto                found out from the first lines",
	"common, combined    the logs of that name, without durations",
	"combined+s          Combined and NGINX's $request_time; stamps mark the end",
	"combined+us         Combined and Apache's %D; stamps mark the arrival",
	"combined+ms         Combined and Apache's %{ms}T; stamps mark the arrival",
	"nginx:LOG_FORMAT    any log_format; stamps mark the end",
	"apache:LOG_FORMAT   any LogFormat; stamps mark the arrival but for %{end:...}t",
	"json                JSON lines by common names of fields; stamps mark the end",
	"json:MAP            as time=A.B,method=C,target=D,duration_ms=E,stamp=arrival,...",
	"caddy, traefik      their JSON access logs",
	"har                 HAR 1.2",
}

// Compile makes a format of its description. zone is that of stamps that name none.
func Compile(text string, zone *time.Location) (*Format, error) {
	if zone == nil {
		zone = time.UTC
	}
	f := &Format{Name: text, zone: zone}
	name, rest, _ := strings.Cut(text, ":")
	var err error
	switch name {
	case "", "auto":
		f.auto, f.Name = true, "auto"
	case "har":
		f.HAR, f.StampsArrival = true, true
	case "common":
		err, f.lenient = f.nginx(commonText), true
	case "combined":
		err, f.lenient = f.nginx(combinedText), true
	case "combined+s":
		err, f.lenient = f.nginx(combinedText+" $request_time"), true
	case "combined+us":
		err, f.lenient, f.StampsArrival = f.apache(`%h %l %u %t \"%r\" %>s %b \"%{Referer}i\" \"%{User-agent}i\" %D`), true, true
	case "combined+ms":
		err, f.lenient, f.StampsArrival = f.apache(`%h %l %u %t \"%r\" %>s %b \"%{Referer}i\" \"%{User-agent}i\" %{ms}T`), true, true
	case "nginx":
		err = f.nginx(rest)
	case "apache":
		err = f.apache(rest)
	case "json":
		f.json, err = compileMap(rest)
		f.StampsArrival = err == nil && f.json.arrival
	case "caddy":
		f.json = &fieldMap{time: []string{"ts"}, method: []string{"request.method"}, target: []string{"request.uri"},
			client: []string{"request.client_ip", "request.remote_ip"}, status: []string{"status"}, id: []string{"uuid"},
			durations: []unitField{{"duration", 1e6}}, body: []string{"bytes_read"}}
	case "traefik":
		f.StampsArrival = true
		f.json = &fieldMap{arrival: true, time: []string{"StartUTC", "StartLocal"}, method: []string{"RequestMethod"},
			target: []string{"RequestPath"}, client: []string{"ClientHost"}, status: []string{"DownstreamStatus", "OriginStatus"},
			durations: []unitField{{"Duration", 1e-3}}, services: []unitField{{"OriginDuration", 1e-3}},
			body: []string{"RequestContentSize"}}
	default:
		return nil, fmt.Errorf("format: %q is none of auto, common, combined, combined+s, combined+us, combined+ms, "+
			"nginx:..., apache:..., json, json:..., caddy, traefik, har", name)
	}
	if err != nil {
		return nil, fmt.Errorf("format %s: %w", name, err)
	}
	return f, nil
}

var nginxFields = map[string]field{
	"time_local": fTimeLocal, "time_iso8601": fTimeISO, "msec": fTimeSeconds, "request": fRequest, "request_method": fMethod,
	"request_uri": fTarget, "uri": fPath, "document_uri": fPath, "args": fQuery, "query_string": fQuery, "status": fStatus,
	"request_time": fSeconds, "upstream_response_time": fService, "remote_addr": fClient, "realip_remote_addr": fSkip,
	"request_id": fID, "http_x_request_id": fID, "http_x_correlation_id": fID, "content_length": fBody,
}

func (f *Format) nginx(text string) error {
	var literal strings.Builder
	for i := 0; i < len(text); {
		c := text[i]
		if c != '$' {
			literal.WriteByte(c)
			i++
			continue
		}
		i++
		braces := i < len(text) && text[i] == '{'
		if braces {
			i++
		}
		j := i
		for j < len(text) && (text[j] == '_' || text[j] >= '0' && text[j] <= '9' || text[j]|0x20 >= 'a' && text[j]|0x20 <= 'z') {
			j++
		}
		name := text[i:j]
		if i = j; braces {
			if i >= len(text) || text[i] != '}' {
				return fmt.Errorf("at %d: ${ without }", i)
			}
			i++
		}
		if name == "" {
			return fmt.Errorf("at %d: $ without a name", i)
		}
		f.push(nginxFields[name], "", &literal)
	}
	return f.finish(literal.String())
}

// push adds a field; the literal so far stands before it.
func (f *Format) push(kind field, layout string, literal *strings.Builder) {
	if n := len(f.parts); n > 0 && kind == fQuery && f.parts[n-1].kind == fPath && literal.Len() == 0 {
		f.parts[n-1].kind = fTarget // %U%q is one text
		return
	}
	p := part{kind: kind, layout: layout, before: literal.String()}
	literal.Reset()
	if n := len(f.parts); n > 0 {
		f.parts[n-1].end = p.before
	}
	p.quoted = strings.HasSuffix(p.before, `"`)
	f.parts = append(f.parts, p)
}

func (f *Format) finish(last string) error {
	if len(f.parts) == 0 {
		return errors.New("no field")
	}
	f.parts[len(f.parts)-1].end = last
	var when, method, target bool
	for i, p := range f.parts {
		if i > 0 && p.before == "" {
			return fmt.Errorf("field %d: nothing parts it from the one before", i+1)
		}
		when = when || p.kind >= fTimeLocal && p.kind <= fTimePiece
		method = method || p.kind == fRequest || p.kind == fMethod
		target = target || p.kind == fRequest || p.kind == fTarget || p.kind == fPath
	}
	switch {
	case !when:
		return errors.New("no field tells the time")
	case !method || !target:
		return errors.New("no field tells the request, or its method and target")
	}
	return nil
}

// strftime's signs, as layouts of package time.
var strftime = map[byte]string{'d': "02", 'e': "_2", 'b': "Jan", 'h': "Jan", 'B': "January", 'Y': "2006", 'y': "06", 'm': "01",
	'H': "15", 'I': "03", 'p': "PM", 'M': "04", 'S': "05", 'z': "-0700", 'Z': "MST", 'T': "15:04:05", 'F': "2006-01-02",
	'D': "01/02/06", 'R': "15:04", 'a': "Mon", 'A': "Monday", 'n': " ", 't': "\t", '%': "%"}

func (f *Format) apache(text string) error {
	var literal strings.Builder
	f.StampsArrival = true
	for i := 0; i < len(text); {
		c := text[i]
		if c == '\\' && i+1 < len(text) { // as the configuration writes them
			i++
			switch text[i] {
			case 't':
				literal.WriteByte('\t')
			case 'n':
			default:
				literal.WriteByte(text[i])
			}
			i++
			continue
		}
		if c != '%' {
			literal.WriteByte(c)
			i++
			continue
		}
		i++
		for i < len(text) && (strings.IndexByte("<>!,", text[i]) >= 0 || text[i] >= '0' && text[i] <= '9') {
			i++
		}
		arg := ""
		if i < len(text) && text[i] == '{' {
			n := strings.IndexByte(text[i:], '}')
			if n < 0 {
				return fmt.Errorf("at %d: %%{ without }", i)
			}
			arg, i = text[i+1:i+n], i+n+1
		}
		if i >= len(text) {
			return errors.New("ends in the middle of a field")
		}
		c = text[i]
		i++
		kind, layout := fSkip, ""
		switch c {
		case '%':
			literal.WriteByte('%')
			continue
		case 'h', 'a':
			kind = fClient
		case 't':
			var end bool
			if arg, end = strings.CutPrefix(arg, "end:"); end {
				f.StampsArrival = false
			}
			switch arg = strings.TrimPrefix(arg, "begin:"); arg {
			case "":
				literal.WriteByte('[')
				f.push(fTimeLocal, "", &literal)
				literal.WriteByte(']')
				continue
			case "sec":
				kind = fTimeSeconds
			case "msec":
				kind = fTimeMillis
			case "usec":
				kind = fTimeMicros
			case "msec_frac":
				kind = fFracMillis
			case "usec_frac":
				kind = fFracMicros
			default:
				kind = fTimePiece
				for j := 0; j < len(arg); j++ {
					if arg[j] != '%' || j+1 == len(arg) {
						layout += arg[j : j+1]
						continue
					}
					j++
					l, ok := strftime[arg[j]]
					if !ok {
						return fmt.Errorf("%%{...}t: %%%c is not known", arg[j])
					}
					layout += l
				}
			}
		case 'r':
			kind = fRequest
		case 'm':
			kind = fMethod
		case 'U':
			kind = fPath
		case 'q':
			kind = fQuery
		case 's':
			kind = fStatus
		case 'D':
			kind = fMicros
		case 'T':
			switch arg {
			case "", "s":
				kind = fSeconds
			case "ms":
				kind = fMillis
			case "us":
				kind = fMicros
			default:
				return fmt.Errorf("%%{%s}T: no unit that is known", arg)
			}
		case 'L':
			kind = fID
		case 'i', 'o', 'e', 'n', 'C':
			switch name := strings.ToLower(arg); {
			case c == 'e' && name == "unique_id", c == 'i' && (name == "x-request-id" || name == "x-correlation-id"):
				kind = fID
			case c == 'i' && name == "content-length":
				kind = fBody
			}
		}
		f.push(kind, layout, &literal)
	}
	return f.finish(literal.String())
}

// Why a line is malformed. None holds any of the line's text.
var (
	errLineTooLong    = errors.New("the line is too long")
	errNUL     = errors.New("a byte of zero within the line")
	errTimestamp    = errors.New("the time cannot be read")
	errRequestLine = errors.New("the request is not method, target and version")
	errStatus  = errors.New("the status is no number of three digits")
	errTarget  = errors.New("the target is no path")
	errNotJSONObject    = errors.New("no JSON object that can be read")
	errDuration    = errors.New("the duration is negative or longer than a day")
)

// Parse reads one line, which needs no newline. An error says what is wrong,
// without any text of the line.
func (f *Format) Parse(line string, r *RawEntry) error {
	*r = RawEntry{Duration: -1, ServiceTime: -1, StampsArrival: f.StampsArrival}
	if n := len(line); n > 0 && line[0] == 0 {
		line = strings.TrimLeft(line, "\x00")
		r.Repairs |= LeadingNUL
	}
	if strings.IndexByte(line, 0) >= 0 {
		return errNUL
	}
	var err error
	if f.json != nil {
		err = f.parseJSON(line, r)
	} else {
		err = f.template(line, r)
	}
	if err != nil {
		return err
	}
	return r.normalize()
}

func (r *RawEntry) normalize() error {
	const day = 24 * 3600 * 1e6
	if r.Duration > day || r.ServiceTime > day {
		return errDuration
	}
	if r.Method == "" {
		return errRequestLine
	}
	if !utf8.ValidString(r.Target) {
		r.Target = strings.ToValidUTF8(r.Target, "\uFFFD")
		r.Repairs |= InvalidUTF8
	}
	if !strings.HasPrefix(r.Target, "/") { // absolute form, or none at all
		_, rest, ok := strings.Cut(r.Target, "://")
		if !ok {
			if r.Target == "*" || r.Method == "CONNECT" {
				r.Ignored = "no path"
				return nil
			}
			return errTarget
		}
		if i := strings.IndexAny(rest, "/?#"); i >= 0 && rest[i] == '/' {
			r.Target = rest[i:]
		} else {
			r.Target = "/"
		}
	}
	return nil
}

// template reads a line by the parts.
func (f *Format) template(line string, r *RawEntry) error {
	var frac int64
	f.pieces, f.layouts = f.pieces[:0], f.layouts[:0]
	query, seen := "", false
	rest, ok := strings.CutPrefix(line, f.parts[0].before)
	if !ok {
		return fmt.Errorf("no %q at the start", f.parts[0].before)
	}
	for i := range f.parts {
		p := &f.parts[i]
		var value string
		switch {
		case p.quoted && strings.HasPrefix(p.end, `"`):
			n := closing(rest)
			if n < 0 {
				return fmt.Errorf("field %d: its quotes do not end", i+1)
			}
			value, rest = rest[:n], rest[n:]
			if f.lenient && i == len(f.parts)-1 {
				rest = rest[1:]
			} else if rest, ok = strings.CutPrefix(rest, p.end); !ok {
				return fmt.Errorf("field %d: no %q behind it", i+1, p.end)
			}
			if p.kind != fSkip && strings.IndexByte(value, '\\') >= 0 {
				value = unescape(value)
			}
		case p.end == "":
			value, rest = rest, ""
			if f.lenient {
				value, rest, _ = strings.Cut(value, " ")
			}
		default:
			n := strings.Index(rest, p.end)
			if n < 0 {
				return fmt.Errorf("field %d: no %q behind it", i+1, p.end)
			}
			value, rest = rest[:n], rest[n+len(p.end):]
		}
		if err := f.take(p, value, r, &frac, &query, &seen); err != nil {
			return err
		}
	}
	if rest != "" && !f.lenient {
		return errors.New("more text than the format has")
	}
	if len(f.pieces) > 0 {
		text, layout := strings.Join(f.pieces, " "), strings.Join(f.layouts, " ")
		t, err := time.ParseInLocation(layout, text, f.zone)
		if err != nil {
			return errTimestamp
		}
		if !strings.Contains(layout, "-0700") && !strings.Contains(layout, "MST") {
			t, r.FoldOffset = fold(t)
		}
		r.Timestamp, r.Resolution, seen = t.UnixMicro(), 1e6, true
		if t.Nanosecond() != 0 {
			r.Resolution = 1000
		}
	}
	if !seen {
		return errTimestamp
	}
	if frac > 0 {
		r.Timestamp += frac - 1
		r.Resolution = 1000
	}
	if query = strings.TrimPrefix(query, "?"); query != "" && query != "-" && !strings.Contains(r.Target, "?") {
		r.Target += "?" + query
	}
	return nil
}

// closing finds the quote that ends a quoted text.
func closing(s string) int {
	for at := 0; ; {
		n := strings.IndexByte(s[at:], '"')
		if n < 0 {
			return -1
		}
		slashes := 0
		for i := at + n - 1; i >= 0 && s[i] == '\\'; i-- {
			slashes++
		}
		if slashes%2 == 0 {
			return at + n
		}
		at += n + 1
	}
}

// unescape undoes what NGINX and Apache do to odd bytes: \xHH, \", \\, \n, \t, \r.
func unescape(s string) string {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			out = append(out, s[i])
			continue
		}
		i++
		switch s[i] {
		case 'n':
			out = append(out, '\n')
		case 't':
			out = append(out, '\t')
		case 'r':
			out = append(out, '\r')
		case 'x':
			if i+2 < len(s) {
				if n, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
					out = append(out, byte(n))
					i += 2
					continue
				}
			}
			out = append(out, 'x')
		default:
			out = append(out, s[i])
		}
	}
	return string(out)
}

func (f *Format) take(p *part, value string, r *RawEntry, frac *int64, query *string, seen *bool) (err error) {
	none := value == "" || value == "-"
	switch p.kind {
	case fTimeLocal:
		if value != f.lastText {
			t, err := time.ParseInLocation("02/Jan/2006:15:04:05 -0700", value, f.zone)
			if err != nil {
				return errTimestamp
			}
			f.lastText, f.lastTime = strings.Clone(value), t.UnixMicro()
		}
		r.Timestamp, r.Resolution, *seen = f.lastTime, 1e6, true
	case fTimeISO:
		r.Timestamp, r.Resolution, r.FoldOffset, err = parseTime(value, f.zone)
		*seen = true
	case fTimeSeconds, fTimeMillis, fTimeMicros:
		scale := 1e6
		if p.kind == fTimeMillis {
			scale = 1e3
		} else if p.kind == fTimeMicros {
			scale = 1
		}
		r.Timestamp, r.Resolution, err = epoch(value, scale)
		*seen = true
	case fTimePiece:
		f.pieces, f.layouts = append(f.pieces, value), append(f.layouts, p.layout)
	case fFracMillis, fFracMicros:
		n, err := strconv.ParseUint(value, 10, 20)
		if err != nil {
			return errTimestamp
		}
		if *frac = int64(n) + 1; p.kind == fFracMillis {
			*frac = int64(n)*1000 + 1
		}
	case fRequest:
		method, rest, ok := strings.Cut(value, " ")
		n := strings.LastIndex(rest, " HTTP/")
		if !ok || n <= 0 || !isMethodToken(method) {
			return errRequestLine
		}
		r.Method, r.Target = method, rest[:n]
	case fMethod:
		if r.Method = value; !isMethodToken(value) {
			return errRequestLine
		}
	case fTarget, fPath:
		if r.Target == "" || p.kind == fTarget {
			r.Target = value
		}
	case fQuery:
		*query = value
	case fStatus:
		if len(value) == 3 && value[0] >= '0' && value[0] <= '9' {
			if r.Status, err = strconv.Atoi(value); err == nil {
				return nil
			}
		}
		return errStatus
	case fSeconds, fMillis, fMicros:
		if none {
			return nil
		}
		scale := 1e6
		if p.kind == fMillis {
			scale = 1e3
		} else if p.kind == fMicros {
			scale = 1
		}
		r.Duration, err = span(value, scale)
	case fService:
		for v := range strings.FieldsFuncSeq(value, func(c rune) bool { return c == ',' || c == ':' || c == ' ' }) {
			if v == "-" {
				continue
			}
			d, err := span(v, 1e6)
			if err != nil {
				return err
			}
			r.ServiceTime = max(r.ServiceTime, 0) + d
		}
	case fClient:
		r.Client = value
	case fID:
		if !none {
			r.RequestID = value
		}
	case fBody:
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			r.BodyBytes = n
		}
	}
	return err
}

// isMethodToken tells whether a text is a method: letters and a few signs.
func isMethodToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 127 || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != "" && len(s) <= 32
}

// span reads a duration.
func span(text string, scale float64) (int64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x*scale > 24*3600*1e6 {
		return -1, errDuration
	}
	return int64(math.Round(x * scale)), nil
}

// epoch reads a time since 1970 and how fine it is.
func epoch(text string, scale float64) (at, step int64, err error) {
	whole, part, point := strings.Cut(text, ".")
	n, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || n < 0 || float64(n)*scale > 253402300799e6 {
		return 0, 0, errTimestamp
	}
	at, step = n*int64(scale), int64(scale)
	if point {
		x, err := strconv.ParseFloat("0."+part, 64)
		if err != nil {
			return 0, 0, errTimestamp
		}
		at += int64(math.Round(x * scale))
		step = max(1, step/1000)
	}
	return at, step, nil
}

// parseTime reads a stamp in one of the forms that logs use.
func parseTime(text string, zone *time.Location) (at, step, folded int64, err error) {
	var t time.Time
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999999Z0700", "2006-01-02 15:04:05.999999999Z07:00",
		"02/Jan/2006:15:04:05 -0700", "2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"} {
		if t, err = time.ParseInLocation(layout, text, zone); err == nil {
			if !strings.Contains(layout, "07") {
				t, folded = fold(t)
			}
			break
		}
	}
	if err != nil || t.Year() < 1970 || t.Year() > 9999 {
		return 0, 0, 0, errTimestamp
	}
	if step = 1e6; strings.ContainsAny(text, ".,") {
		step = 1000
	}
	return t.UnixMicro(), step, folded, nil
}

// fold tells of a local time that comes twice as summer time ends: the first of
// the two moments, and by how much later the second is; 0: it comes once.
func fold(t time.Time) (time.Time, int64) {
	same := func(u time.Time) bool { return u.Hour() == t.Hour() && u.Minute() == t.Minute() }
	if earlier := t.Add(-time.Hour); same(earlier) {
		t = earlier
	} else if !same(t.Add(time.Hour)) {
		return t, 0
	}
	return t, time.Hour.Microseconds()
}

// fieldMap says where JSON lines hold what. Of several names the first that is there counts.
type fieldMap struct {
	arrival                                                        bool
	time, request, method, target, query, status, client, id, body []string
	durations, services                                            []unitField
}

type unitField struct {
	name  string
	scale float64 // to microseconds
}

// What NGINX's escape=json logs and their like mostly call their fields.
func commonMap() *fieldMap {
	return &fieldMap{
		time:    []string{"msec", "time_iso8601", "@timestamp", "timestamp", "time", "ts", "time_local", "date"},
		request: []string{"request"}, method: []string{"request_method", "method", "http_method", "verb"},
		target: []string{"request_uri", "uri", "target", "url", "path"}, query: []string{"args", "query_string"},
		status: []string{"status", "status_code", "response"}, client: []string{"remote_addr", "client_ip", "client", "remote_ip", "ip"},
		id: []string{"request_id", "x_request_id", "correlation_id"}, body: []string{"content_length"},
		durations: []unitField{{"request_time", 1e6}, {"duration_s", 1e6}, {"duration_ms", 1e3}, {"duration_us", 1},
			{"duration_ns", 1e-3}, {"latency_ms", 1e3}, {"elapsed_ms", 1e3}, {"response_time_ms", 1e3}},
		services: []unitField{{"upstream_response_time", 1e6}},
	}
}

var units = map[string]float64{"s": 1e6, "ms": 1e3, "us": 1, "ns": 1e-3}

func compileMap(text string) (*fieldMap, error) {
	m := commonMap()
	if text == "" {
		return m, nil
	}
	fields := map[string]*[]string{"time": &m.time, "request": &m.request, "method": &m.method, "target": &m.target,
		"query": &m.query, "status": &m.status, "client": &m.client, "id": &m.id, "body": &m.body}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || value == "" {
			return nil, fmt.Errorf("%q is not NAME=FIELD", pair)
		}
		if list := fields[name]; list != nil {
			*list = []string{value}
			continue
		}
		kind, unit, _ := strings.Cut(name, "_")
		scale, known := units[unit]
		switch {
		case name == "stamp" && (value == "arrival" || value == "end"):
			m.arrival = value == "arrival"
		case kind == "duration" && known:
			m.durations = []unitField{{value, scale}}
		case kind == "service" && known:
			m.services = []unitField{{value, scale}}
		default:
			return nil, fmt.Errorf("%q: neither time, request, method, target, query, status, client, id, body, "+
				"duration_s, _ms, _us, _ns, service_s, _ms, _us, _ns nor stamp=arrival or stamp=end", name)
		}
	}
	return m, nil
}

func (f *Format) parseJSON(line string, r *RawEntry) error {
	v, err := f.parser.Parse(line)
	if err != nil || v.Type() != fastjson.TypeObject {
		return errNotJSONObject
	}
	m := f.json
	when := find(v, m.time)
	if when == nil {
		return errTimestamp
	}
	text := scalar(when)
	if when.Type() == fastjson.TypeNumber || strings.Trim(text, "0123456789.") == "" {
		scale := 1e6
		if whole, _, _ := strings.Cut(text, "."); len(whole) >= 12 { // milliseconds, or finer
			scale = 1e3
			if len(whole) >= 15 {
				scale = 1
			}
			if len(whole) >= 18 {
				text, scale = whole[:len(whole)-3], 1
			}
		}
		r.Timestamp, r.Resolution, err = epoch(text, scale)
	} else {
		r.Timestamp, r.Resolution, r.FoldOffset, err = parseTime(text, f.zone)
	}
	if err != nil {
		return err
	}
	r.Method, r.Target = scalar(find(v, m.method)), scalar(find(v, m.target))
	if r.Method == "" || r.Target == "" {
		if v := find(v, m.request); v != nil && v.Type() == fastjson.TypeString {
			if err := f.take(&part{kind: fRequest}, scalar(v), r, nil, nil, nil); err != nil {
				return err
			}
		}
	}
	if !isMethodToken(r.Method) {
		return errRequestLine
	}
	if q := scalar(find(v, m.query)); q != "" && q != "-" && !strings.Contains(r.Target, "?") {
		r.Target += "?" + strings.TrimPrefix(q, "?")
	}
	if s := find(v, m.status); s != nil {
		if r.Status, err = strconv.Atoi(scalar(s)); err != nil || r.Status < 0 || r.Status > 999 {
			return errStatus
		}
	}
	r.Client, r.RequestID = scalar(find(v, m.client)), scalar(find(v, m.id))
	if n, err := strconv.Atoi(scalar(find(v, m.body))); err == nil && n > 0 {
		r.BodyBytes = n
	}
	if r.Duration, err = jsonSpan(v, m.durations); err != nil {
		return err
	}
	r.ServiceTime, err = jsonSpan(v, m.services)
	return err
}

// jsonSpan reads the first of some durations that is there.
func jsonSpan(v *fastjson.Value, list []unitField) (int64, error) {
	for _, u := range list {
		x := find(v, []string{u.name})
		if x == nil || x.Type() == fastjson.TypeNull {
			continue
		}
		text := scalar(x)
		if text == "" || text == "-" {
			return -1, nil
		}
		if x.Type() == fastjson.TypeString { // "0.031", "0.020, 0.011" or a Go duration
			if d, err := time.ParseDuration(text); err == nil && d >= 0 {
				return d.Microseconds(), nil
			}
			var r RawEntry
			r.ServiceTime = -1
			err := (&Format{}).take(&part{kind: fService}, text, &r, nil, nil, nil)
			if r.ServiceTime > 0 {
				r.ServiceTime = int64(float64(r.ServiceTime) * u.scale / 1e6)
			}
			return r.ServiceTime, err
		}
		return span(text, u.scale)
	}
	return -1, nil
}

// find walks a dotted path; a field of the whole name comes first.
func find(v *fastjson.Value, names []string) *fastjson.Value {
	for _, name := range names {
		if x := v.Get(name); x != nil {
			return x
		}
		if strings.Contains(name, ".") {
			if x := v.Get(strings.Split(name, ".")...); x != nil {
				return x
			}
		}
	}
	return nil
}

// scalar is the text of a string or a number; else empty.
func scalar(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	switch v.Type() {
	case fastjson.TypeString:
		b, _ := v.StringBytes()
		return string(b)
	case fastjson.TypeNumber:
		return string(v.MarshalTo(nil))
	}
	return ""
}

// detectFormat finds the format of a source from its first bytes.
func detectFormat(head string, zone *time.Location) (*Format, error) {
	text := strings.TrimLeft(strings.TrimPrefix(head, "\xef\xbb\xbf"), " \t\r\n\x00")
	lines := strings.Split(text, "\n")
	if len(lines) > 1 {
		lines = lines[:min(len(lines)-1, 32)] // the last may be cut
	}
	if strings.HasPrefix(text, "{") {
		if fastjson.Validate(strings.TrimSpace(lines[0])) != nil || strings.HasPrefix(strings.ReplaceAll(lines[0], " ", ""), `{"log":{`) {
			return Compile("har", zone)
		}
		switch {
		case strings.Contains(lines[0], `"DownstreamStatus"`), strings.Contains(lines[0], `"RequestPath"`):
			return Compile("traefik", zone)
		case strings.Contains(lines[0], `"request":{`), strings.Contains(lines[0], `"request": {`):
			return Compile("caddy", zone)
		}
		return Compile("json", zone)
	}
	var best *Format
	most := 0
	for _, name := range []string{"combined", "common"} {
		f, err := Compile(name, zone)
		if err != nil {
			return nil, err
		}
		n, seconds, micros := 0, 0, 0
		for _, line := range lines {
			var r RawEntry
			if f.Parse(line, &r) != nil {
				continue
			}
			n++
			if name == "combined" {
				last := strings.TrimSpace(line[strings.LastIndexByte(line, '"')+1:])
				last, _, _ = strings.Cut(last, " ")
				switch {
				case last == "" || strings.Trim(last, "0123456789.") != "":
				case strings.Contains(last, "."):
					seconds++
				default:
					micros++
				}
			}
		}
		if n > most {
			if most, best = n, f; seconds*2 > n {
				best, err = Compile("combined+s", zone)
			} else if micros*2 > n {
				best, err = Compile("combined+us", zone)
			}
			if err != nil {
				return nil, err
			}
		}
	}
	if best == nil {
		return Compile("combined", zone) // each line is then told as malformed
	}
	return best, nil
}
