package recording

import (
	"fmt"
	"strings"
)

// nginxFields maps NGINX variables to the kinds of fields. Other variables are skipped.
var nginxFields = map[string]fieldKind{
	"time_local": fieldTimeLocal, "time_iso8601": fieldTimeISO, "msec": fieldTimeSeconds,
	"request": fieldRequestLine, "request_method": fieldMethod, "request_uri": fieldTarget,
	"uri": fieldPath, "document_uri": fieldPath, "args": fieldQuery, "query_string": fieldQuery,
	"status": fieldStatus, "request_time": fieldDurationSeconds, "upstream_response_time": fieldServiceTimes,
	"remote_addr": fieldClient, "realip_remote_addr": fieldSkipped,
	"request_id": fieldRequestID, "http_x_request_id": fieldRequestID, "http_x_correlation_id": fieldRequestID,
	"content_length": fieldBodyBytes,
}

// compileNGINX compiles the text of NGINX's log_format directive.
func (f *Format) compileNGINX(text string) error {
	var literal strings.Builder
	for index := 0; index < len(text); {
		if text[index] != '$' {
			literal.WriteByte(text[index])
			index++
			continue
		}
		name, end, err := cutNGINXVariable(text, index+1)
		if err != nil {
			return err
		}
		index = end
		f.appendField(nginxFields[name], "", &literal)
	}
	return f.finishTemplate(literal.String())
}

// cutNGINXVariable parses a variable, with or without braces. start is the index of the byte after its
// $. It returns the variable's name and the index of the byte after the variable.
func cutNGINXVariable(text string, start int) (name string, end int, err error) {
	braces := start < len(text) && text[start] == '{'
	if braces {
		start++
	}
	end = start
	for end < len(text) && isNGINXNameByte(text[end]) {
		end++
	}
	name = text[start:end]
	if braces {
		if end >= len(text) || text[end] != '}' {
			return "", 0, fmt.Errorf("at %d: ${ without }", end)
		}
		end++
	}
	if name == "" {
		return "", 0, fmt.Errorf("at %d: $ without a name", end)
	}
	return name, end, nil
}

func isNGINXNameByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z'
}
