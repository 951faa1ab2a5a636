package recording

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Format parses the lines of an access log in one format. Compile creates it. It reuses its buffers
// from line to line and is not safe for concurrent use.
type Format struct {
	Name                  string
	HAR                   bool
	TimestampsMarkArrival bool // timestamps mark the arrival, otherwise the completion

	template          []templateField // of text logs; empty for other formats
	allowTrailingText bool            // text after the template's last field is ignored
	state             templateState

	jsonFields *jsonFields // of JSON logs; nil for other formats
	jsonParser fastjson.Parser

	zone       *time.Location // of timestamps without a zone
	cachedText string         // the last timestamp that parseLocalTime parsed
	cachedTime int64          // its Unix time in microseconds
}

const (
	nginxCommon   = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent`
	nginxCombined = nginxCommon + ` "$http_referer" "$http_user_agent"`
	// apacheCombined is Apache's own spelling of the Combined format.
	apacheCombined = `%h %l %u %t \"%r\" %>s %b \"%{Referer}i\" \"%{User-agent}i\"`
)

// Formats describes the formats that Compile accepts. Each element is a line of the help text.
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

// Compile creates a Format from its description; see Formats. zone applies to timestamps without a
// zone; nil means UTC.
func Compile(text string, zone *time.Location) (*Format, error) {
	if zone == nil {
		zone = time.UTC
	}
	format := &Format{Name: text, zone: zone}
	name, argument, _ := strings.Cut(text, ":")
	known, err := format.compileNamed(name, argument)
	if !known {
		return nil, fmt.Errorf("format: %q is none of auto, common, combined, combined+s, combined+us, combined+ms, "+
			"nginx:..., apache:..., json, json:..., caddy, traefik, har", name)
	}
	if err != nil {
		return nil, fmt.Errorf("format %s: %w", name, err)
	}
	return format, nil
}

// compileNamed compiles the format with the given name. known is false if there is no such format.
func (f *Format) compileNamed(name, argument string) (known bool, err error) {
	switch name {
	case "", "auto":
		f.Name = "auto"
	case "har":
		f.HAR = true
		f.TimestampsMarkArrival = true
	case "common":
		f.allowTrailingText = true
		err = f.compileNGINX(nginxCommon)
	case "combined":
		f.allowTrailingText = true
		err = f.compileNGINX(nginxCombined)
	case "combined+s":
		f.allowTrailingText = true
		err = f.compileNGINX(nginxCombined + " $request_time")
	case "combined+us":
		f.allowTrailingText = true
		err = f.compileApache(apacheCombined + " %D")
	case "combined+ms":
		f.allowTrailingText = true
		err = f.compileApache(apacheCombined + " %{ms}T")
	case "nginx":
		err = f.compileNGINX(argument)
	case "apache":
		err = f.compileApache(argument)
	case "json":
		f.jsonFields, err = compileJSONFields(argument)
		f.TimestampsMarkArrival = err == nil && f.jsonFields.timestampsMarkArrival
	case "caddy":
		f.jsonFields = caddyJSONFields()
	case "traefik":
		f.jsonFields = traefikJSONFields()
		f.TimestampsMarkArrival = true
	default:
		return false, nil
	}
	return true, err
}

// Parse parses one line, without its newline, into raw. The error says what is malformed without
// quoting any of the line.
func (f *Format) Parse(line string, raw *RawEntry) error {
	*raw = RawEntry{Duration: notRecorded, ServiceTime: notRecorded, TimestampMarksArrival: f.TimestampsMarkArrival}
	if len(line) > 0 && line[0] == 0 {
		line = strings.TrimLeft(line, "\x00")
		raw.Repairs |= LeadingNUL
	}
	if strings.IndexByte(line, 0) >= 0 {
		return errNUL
	}
	var err error
	if f.jsonFields != nil {
		err = f.parseJSON(line, raw)
	} else {
		err = f.parseTemplate(line, raw)
	}
	if err != nil {
		return err
	}
	return raw.normalize()
}
