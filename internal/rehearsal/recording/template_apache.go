package recording

import (
	"errors"
	"fmt"
	"strings"
)

// strftimeLayouts maps the conversion characters of strftime to layouts of package time.
var strftimeLayouts = map[byte]string{
	'd': "02", 'e': "_2", 'b': "Jan", 'h': "Jan", 'B': "January", 'Y': "2006", 'y': "06", 'm': "01",
	'H': "15", 'I': "03", 'p': "PM", 'M': "04", 'S': "05", 'z': "-0700", 'Z': "MST", 'T': "15:04:05", 'F': "2006-01-02",
	'D': "01/02/06", 'R': "15:04", 'a': "Mon", 'A': "Monday", 'n': " ", 't': "\t", '%': "%",
}

// apacheTimeFields maps those arguments of %{...}t that are not strftime formats.
var apacheTimeFields = map[string]fieldKind{
	"sec": fieldTimeSeconds, "msec": fieldTimeMilliseconds, "usec": fieldTimeMicroseconds,
	"msec_frac": fieldFractionMilliseconds, "usec_frac": fieldFractionMicroseconds,
}

// apacheFields maps the directives that do not depend on an argument. Other directives are skipped.
var apacheFields = map[byte]fieldKind{
	'h': fieldClient, 'a': fieldClient, 'r': fieldRequestLine, 'm': fieldMethod, 'U': fieldPath, 'q': fieldQuery,
	's': fieldStatus, 'D': fieldDurationMicroseconds, 'L': fieldRequestID,
}

// apacheCompiler compiles the text of a LogFormat directive into a format.
type apacheCompiler struct {
	format   *Format
	text     string
	position int // index of the next byte of text
	literal  strings.Builder
}

// compileApache compiles the text of Apache's LogFormat directive.
func (f *Format) compileApache(text string) error {
	f.TimestampsMarkArrival = true
	compiler := apacheCompiler{format: f, text: text}
	for compiler.position < len(text) {
		switch {
		case text[compiler.position] == '\\' && compiler.position+1 < len(text):
			compiler.readEscape()
		case text[compiler.position] == '%':
			compiler.position++
			if err := compiler.readDirective(); err != nil {
				return err
			}
		default:
			compiler.literal.WriteByte(text[compiler.position])
			compiler.position++
		}
	}
	return f.finishTemplate(compiler.literal.String())
}

// readEscape reads a backslash and the byte after it, which are an escape sequence of Apache's
// configuration files.
func (c *apacheCompiler) readEscape() {
	switch escaped := c.text[c.position+1]; escaped {
	case 't':
		c.literal.WriteByte('\t')
	case 'n':
	default:
		c.literal.WriteByte(escaped)
	}
	c.position += 2
}

// readDirective reads a directive. position is that of the byte after its percent sign.
func (c *apacheCompiler) readDirective() error {
	c.skipModifiers()
	argument, err := c.readArgument()
	if err != nil {
		return err
	}
	if c.position >= len(c.text) {
		return errors.New("the text ends in the middle of a directive")
	}
	directive := c.text[c.position]
	c.position++
	switch directive {
	case '%':
		c.literal.WriteByte('%')
		return nil
	case 't':
		return c.addTime(argument)
	}
	kind, err := apacheFieldKind(directive, argument)
	if err != nil {
		return err
	}
	c.format.appendField(kind, "", &c.literal)
	return nil
}

// skipModifiers skips the modifiers of a directive: status codes, and < and > for redirected requests.
func (c *apacheCompiler) skipModifiers() {
	for c.position < len(c.text) && (strings.IndexByte("<>!,", c.text[c.position]) >= 0 || c.text[c.position] >= '0' && c.text[c.position] <= '9') {
		c.position++
	}
}

// readArgument reads the argument in braces, or returns "" if there is none.
func (c *apacheCompiler) readArgument() (string, error) {
	if c.position >= len(c.text) || c.text[c.position] != '{' {
		return "", nil
	}
	length := strings.IndexByte(c.text[c.position:], '}')
	if length < 0 {
		return "", fmt.Errorf("at %d: %%{ without }", c.position)
	}
	argument := c.text[c.position+1 : c.position+length]
	c.position += length + 1
	return argument, nil
}

// addTime adds the field of a %t or %{...}t directive.
func (c *apacheCompiler) addTime(argument string) error {
	argument, completion := strings.CutPrefix(argument, "end:")
	if completion {
		c.format.TimestampsMarkArrival = false
	}
	argument = strings.TrimPrefix(argument, "begin:")
	if argument == "" {
		c.literal.WriteByte('[')
		c.format.appendField(fieldTimeLocal, "", &c.literal)
		c.literal.WriteByte(']')
		return nil
	}
	if kind, ok := apacheTimeFields[argument]; ok {
		c.format.appendField(kind, "", &c.literal)
		return nil
	}
	layout, err := strftimeLayout(argument)
	if err != nil {
		return err
	}
	c.format.appendField(fieldTimePiece, layout, &c.literal)
	return nil
}

// strftimeLayout converts a strftime format to a layout of package time.
func strftimeLayout(format string) (string, error) {
	var layout strings.Builder
	for i := 0; i < len(format); i++ {
		if format[i] != '%' || i+1 == len(format) {
			layout.WriteByte(format[i])
			continue
		}
		i++
		conversion, ok := strftimeLayouts[format[i]]
		if !ok {
			return "", fmt.Errorf("%%{...}t: unknown conversion %%%c", format[i])
		}
		layout.WriteString(conversion)
	}
	return layout.String(), nil
}

// apacheFieldKind returns the kind of field of a directive other than %t and %%.
func apacheFieldKind(directive byte, argument string) (fieldKind, error) {
	switch directive {
	case 'T':
		switch argument {
		case "", "s":
			return fieldDurationSeconds, nil
		case "ms":
			return fieldDurationMilliseconds, nil
		case "us":
			return fieldDurationMicroseconds, nil
		}
		return fieldSkipped, fmt.Errorf("%%{%s}T: unknown unit", argument)
	case 'e':
		if strings.ToLower(argument) == "unique_id" {
			return fieldRequestID, nil
		}
	case 'i':
		switch strings.ToLower(argument) {
		case "x-request-id", "x-correlation-id":
			return fieldRequestID, nil
		case "content-length":
			return fieldBodyBytes, nil
		}
	}
	return apacheFields[directive], nil
}
