package recording

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// jsonFields holds, for each value of an entry, the names of the JSON log's fields that may contain it.
// The first field that a line has is used. A name with dots is a path into nested objects.
type jsonFields struct {
	timestampsMarkArrival bool
	time                  []string
	request               []string
	method                []string
	target                []string
	query                 []string
	status                []string
	client                []string
	requestID             []string
	bodyBytes             []string
	durations             []durationField
	serviceTimes          []durationField
}

// durationField is a field that contains a duration.
type durationField struct {
	name  string
	scale float64 // microseconds in the unit of the field's value
}

// microsecondsPerUnit holds the number of microseconds in each unit that json:MAP allows.
var microsecondsPerUnit = map[string]float64{"s": 1e6, "ms": 1e3, "us": 1, "ns": 1e-3}

// commonJSONFields returns the names that are common in JSON logs of NGINX (escape=json) and similar
// servers.
func commonJSONFields() *jsonFields {
	return &jsonFields{
		time:      []string{"msec", "time_iso8601", "@timestamp", "timestamp", "time", "ts", "time_local", "date"},
		request:   []string{"request"},
		method:    []string{"request_method", "method", "http_method", "verb"},
		target:    []string{"request_uri", "uri", "target", "url", "path"},
		query:     []string{"args", "query_string"},
		status:    []string{"status", "status_code", "response"},
		client:    []string{"remote_addr", "client_ip", "client", "remote_ip", "ip"},
		requestID: []string{"request_id", "x_request_id", "correlation_id"},
		bodyBytes: []string{"content_length"},
		durations: []durationField{{"request_time", 1e6}, {"duration_s", 1e6}, {"duration_ms", 1e3}, {"duration_us", 1},
			{"duration_ns", 1e-3}, {"latency_ms", 1e3}, {"elapsed_ms", 1e3}, {"response_time_ms", 1e3}},
		serviceTimes: []durationField{{"upstream_response_time", 1e6}},
	}
}

func caddyJSONFields() *jsonFields {
	return &jsonFields{
		time:      []string{"ts"},
		method:    []string{"request.method"},
		target:    []string{"request.uri"},
		client:    []string{"request.client_ip", "request.remote_ip"},
		status:    []string{"status"},
		requestID: []string{"uuid"},
		durations: []durationField{{"duration", 1e6}},
		bodyBytes: []string{"bytes_read"},
	}
}

func traefikJSONFields() *jsonFields {
	return &jsonFields{
		timestampsMarkArrival: true,
		time:                  []string{"StartUTC", "StartLocal"},
		method:                []string{"RequestMethod"},
		target:                []string{"RequestPath"},
		client:                []string{"ClientHost"},
		status:                []string{"DownstreamStatus", "OriginStatus"},
		durations:             []durationField{{"Duration", 1e-3}},
		serviceTimes:          []durationField{{"OriginDuration", 1e-3}},
		bodyBytes:             []string{"RequestContentSize"},
	}
}

// compileJSONFields parses a map of fields such as "time=A.B,duration_ms=C,stamp=arrival". Fields that
// are not in the map have the names in commonJSONFields.
func compileJSONFields(text string) (*jsonFields, error) {
	fields := commonJSONFields()
	if text == "" {
		return fields, nil
	}
	namesByKey := map[string]*[]string{
		"time": &fields.time, "request": &fields.request, "method": &fields.method, "target": &fields.target,
		"query": &fields.query, "status": &fields.status, "client": &fields.client, "id": &fields.requestID,
		"body": &fields.bodyBytes,
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || value == "" {
			return nil, fmt.Errorf("%q is not NAME=FIELD", pair)
		}
		if names := namesByKey[name]; names != nil {
			*names = []string{value}
			continue
		}
		kind, unit, _ := strings.Cut(name, "_")
		scale, known := microsecondsPerUnit[unit]
		switch {
		case name == "stamp" && (value == "arrival" || value == "end"):
			fields.timestampsMarkArrival = value == "arrival"
		case kind == "duration" && known:
			fields.durations = []durationField{{value, scale}}
		case kind == "service" && known:
			fields.serviceTimes = []durationField{{value, scale}}
		default:
			return nil, fmt.Errorf("%q: neither time, request, method, target, query, status, client, id, body, "+
				"duration_s, _ms, _us, _ns, service_s, _ms, _us, _ns nor stamp=arrival or stamp=end", name)
		}
	}
	return fields, nil
}

// parseJSON parses a line that is a JSON object.
func (f *Format) parseJSON(line string, raw *RawEntry) error {
	object, err := f.jsonParser.Parse(line)
	if err != nil || object.Type() != fastjson.TypeObject {
		return errNotJSONObject
	}
	fields := f.jsonFields
	if err := f.parseJSONTime(object, raw); err != nil {
		return err
	}
	if err := fields.parseRequest(object, raw); err != nil {
		return err
	}
	if value := findJSON(object, fields.status); value != nil {
		raw.Status, err = strconv.Atoi(scalarText(value))
		if err != nil || raw.Status < 0 || raw.Status > 999 {
			return errStatus
		}
	}
	raw.Client = scalarText(findJSON(object, fields.client))
	raw.RequestID = scalarText(findJSON(object, fields.requestID))
	raw.BodyBytes = parseBodyBytes(scalarText(findJSON(object, fields.bodyBytes)), raw.BodyBytes)
	raw.Duration, err = parseJSONDuration(object, fields.durations)
	if err != nil {
		return err
	}
	raw.ServiceTime, err = parseJSONDuration(object, fields.serviceTimes)
	return err
}

// parseJSONTime parses the entry's time, which is the time since 1970 as a number or a timestamp in a
// string.
func (f *Format) parseJSONTime(object *fastjson.Value, raw *RawEntry) error {
	value := findJSON(object, f.jsonFields.time)
	if value == nil {
		return errTimestamp
	}
	parsed, err := f.parseJSONTimeText(scalarText(value), value.Type() == fastjson.TypeNumber)
	raw.Timestamp = parsed.timestamp
	raw.Resolution = parsed.resolution
	raw.FoldOffset = parsed.foldOffset
	return err
}

// parseJSONTimeText parses the text of a number or of a string, which may also contain a number.
func (f *Format) parseJSONTimeText(text string, isNumber bool) (parsedTime, error) {
	if isNumber || strings.Trim(text, "0123456789.") == "" {
		number, scale := guessEpochUnit(text)
		return parseEpoch(number, scale)
	}
	return parseTimestamp(text, f.zone)
}

// guessEpochUnit guesses the unit of a time since 1970 from its number of digits: seconds,
// milliseconds, microseconds or nanoseconds. It truncates nanoseconds to microseconds.
func guessEpochUnit(text string) (number string, scale float64) {
	const (
		millisecondDigits = 12
		microsecondDigits = 15
		nanosecondDigits  = 18
	)
	whole, _, _ := strings.Cut(text, ".")
	switch digits := len(whole); {
	case digits >= nanosecondDigits:
		return whole[:digits-3], 1
	case digits >= microsecondDigits:
		return text, 1
	case digits >= millisecondDigits:
		return text, 1e3
	}
	return text, 1e6
}

// parseRequest reads the method and the target, from their own fields or from a request line.
func (f *jsonFields) parseRequest(object *fastjson.Value, raw *RawEntry) error {
	raw.Method = scalarText(findJSON(object, f.method))
	raw.Target = scalarText(findJSON(object, f.target))
	if raw.Method == "" || raw.Target == "" {
		line := findJSON(object, f.request)
		if line != nil && line.Type() == fastjson.TypeString {
			if err := raw.setRequestLine(scalarText(line)); err != nil {
				return err
			}
		}
	}
	if !isMethodToken(raw.Method) {
		return errRequestLine
	}
	raw.appendQuery(scalarText(findJSON(object, f.query)))
	return nil
}

// parseJSONDuration parses the first of the fields that the object has, in microseconds. It returns
// notRecorded if it has none of them.
func parseJSONDuration(object *fastjson.Value, fields []durationField) (int64, error) {
	for _, field := range fields {
		value := findJSON(object, []string{field.name})
		if value == nil || value.Type() == fastjson.TypeNull {
			continue
		}
		text := scalarText(value)
		if text == "" || text == "-" {
			return notRecorded, nil
		}
		if value.Type() == fastjson.TypeString {
			return parseDurationText(text, field.scale)
		}
		return parseDuration(text, field.scale)
	}
	return notRecorded, nil
}

// parseDurationText parses a duration such as "0.031", "0.020, 0.011" or Go's "31ms". Numbers without
// a unit are in units of scale microseconds, and several numbers are added.
func parseDurationText(text string, scale float64) (int64, error) {
	if duration, err := time.ParseDuration(text); err == nil && duration >= 0 {
		return duration.Microseconds(), nil
	}
	sum, err := addServiceTimes(notRecorded, text)
	if sum > 0 {
		sum = int64(float64(sum) * scale / 1e6)
	}
	return sum, err
}

// findJSON returns the value of the first of the named fields that the object has, or nil. A name with
// dots is first looked up as a whole, then as a path into nested objects.
func findJSON(object *fastjson.Value, names []string) *fastjson.Value {
	for _, name := range names {
		if value := object.Get(name); value != nil {
			return value
		}
		if strings.Contains(name, ".") {
			if value := object.Get(strings.Split(name, ".")...); value != nil {
				return value
			}
		}
	}
	return nil
}

// scalarText returns the text of a string or a number, and "" for any other value.
func scalarText(value *fastjson.Value) string {
	if value == nil {
		return ""
	}
	switch value.Type() {
	case fastjson.TypeString:
		text, _ := value.StringBytes()
		return string(text)
	case fastjson.TypeNumber:
		return string(value.MarshalTo(nil))
	}
	return ""
}
