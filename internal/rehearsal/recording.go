// Package rehearsal replays recorded traffic to a dispatcher and reports what
// became of it. It reads HAR 1.2 files and access logs in the Common and the
// Combined format. It must never invent load, model a fleet, judge speed, or
// reach beyond the loopback addresses.
package rehearsal

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// This file owns the readers and the rules that map an entry to a class. A bad
// entry is told by its number and passed over; it must never stop the rest.

// Entry is one recorded request.
type Entry struct {
	Number int           // its line in a log, its place in a HAR file, from 1
	At     time.Duration // since the first entry; never less than that of the entry before
	Method string
	Path   string // with its query
	Body   []byte
}

// Bad is an entry that could not be read.
type Bad struct {
	Number int
	Why    string
}

func (b Bad) String() string { return fmt.Sprintf("entry %d: %s", b.Number, b.Why) }

// Limits bounds a recording.
type Limits struct {
	Entries int           // no more are read
	Span    time.Duration // nor any that came so long after the first
}

const maxLine = 256 << 10 // longest line of a log

// builder puts entries in place in time.
type builder struct {
	limits  Limits
	entries []Entry
	bad     []Bad
	first   time.Time
	cut     bool
}

var errFull = errors.New("full")

func (b *builder) add(number int, at time.Time, method, target string, body []byte) error {
	if len(b.entries) >= b.limits.Entries {
		b.cut = true
		return errFull
	}
	u, err := url.Parse(target)
	if err != nil || method == "" {
		b.bad = append(b.bad, Bad{number, "no request that can be read"})
		return nil
	}
	if len(b.entries) == 0 {
		b.first = at
	}
	since := at.Sub(b.first)
	if n := len(b.entries); n > 0 {
		since = max(since, b.entries[n-1].At) // the order of the recording stands, whatever its clock did
	}
	if since > b.limits.Span {
		b.cut = true
		return errFull
	}
	path := u.EscapedPath()
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	b.entries = append(b.entries, Entry{number, since, method, path, body})
	return nil
}

// Read reads a recording, whichever of the formats it has: a HAR file is one
// JSON object. cut tells that there was more than the limits allow.
func Read(r io.Reader, limits Limits) (entries []Entry, bad []Bad, cut bool, err error) {
	in := bufio.NewReaderSize(r, 64<<10)
	b := &builder{limits: limits}
	for {
		c, err := in.Peek(1)
		if err != nil {
			return nil, nil, false, errors.New("the recording is empty")
		}
		if c[0] != ' ' && c[0] != '\n' && c[0] != '\r' && c[0] != '\t' && c[0] != 0xef && c[0] != 0xbb && c[0] != 0xbf {
			if c[0] == '{' {
				err = b.har(in)
			} else {
				err = b.log(in)
			}
			if errors.Is(err, errFull) {
				err = nil
			}
			return b.entries, b.bad, b.cut, err
		}
		in.Discard(1)
	}
}

// har reads a HAR file, entry by entry, so that a large one needs little memory.
func (b *builder) har(r io.Reader) error {
	d := json.NewDecoder(r)
	version, seen := "", false
	if err := object(d, func(key string) error {
		if key != "log" {
			return skip(d)
		}
		return object(d, func(key string) error {
			switch key {
			case "version":
				return d.Decode(&version)
			case "entries":
				seen = true
				return b.harEntries(d)
			}
			return skip(d)
		})
	}); err != nil {
		return err
	}
	if !seen {
		return errors.New("HAR: log.entries: missing")
	}
	if version != "1.2" {
		return fmt.Errorf("HAR: log.version: %q is not 1.2", version)
	}
	return nil
}

func (b *builder) harEntries(d *json.Decoder) error {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return errors.New("HAR: log.entries: no array")
	}
	for number := 1; d.More(); number++ {
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return fmt.Errorf("HAR: entry %d: %w", number, err)
		}
		var e struct {
			Started string `json:"startedDateTime"`
			Request struct {
				Method string `json:"method"`
				URL    string `json:"url"`
				Post   struct {
					Text string `json:"text"`
				} `json:"postData"`
			} `json:"request"`
		}
		if err := json.Unmarshal(raw, &e); err != nil {
			b.bad = append(b.bad, Bad{number, err.Error()})
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, e.Started)
		if err != nil {
			b.bad = append(b.bad, Bad{number, "startedDateTime: no time"})
			continue
		}
		if err := b.add(number, at, e.Request.Method, e.Request.URL, []byte(e.Request.Post.Text)); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// object walks through a JSON object; each calls must take the value.
func object(d *json.Decoder, each func(key string) error) error {
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("HAR: no object where one belongs")
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return fmt.Errorf("HAR: %w", err)
		}
		if err := each(key.(string)); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func skip(d *json.Decoder) error {
	var v json.RawMessage
	return d.Decode(&v)
}

// log reads an access log in the Common or the Combined format.
func (b *builder) log(in *bufio.Reader) error {
	for number := 1; ; number++ {
		line, long, err := readLine(in)
		if line == "" && err != nil && !long {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if strings.TrimSpace(line) == "" && !long {
			continue
		}
		at, method, target, why := parseLine(line)
		if long {
			why = "the line is too long"
		}
		if why != "" {
			b.bad = append(b.bad, Bad{number, why})
			continue
		}
		if err := b.add(number, at, method, target, nil); err != nil {
			return err
		}
	}
}

// readLine reads a line; of one that is too long it keeps nothing.
func readLine(in *bufio.Reader) (line string, long bool, err error) {
	var text []byte
	for {
		part, err := in.ReadSlice('\n')
		if !long {
			text = append(text, part...)
		}
		if len(text) > maxLine {
			text, long = nil, true
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return strings.TrimRight(string(text), "\r\n"), long, err
		}
	}
}

// parseLine parses one line of a log: host, identity, user, [time], "request",
// status, bytes; the Combined format's referrer and agent may follow.
func parseLine(line string) (at time.Time, method, target, why string) {
	open := strings.IndexByte(line, '[')
	end := strings.IndexByte(line, ']')
	if open < 0 || end < open || len(strings.Fields(line[:open])) < 3 {
		return at, "", "", "no host, identity, user and [time]"
	}
	at, err := time.Parse("02/Jan/2006:15:04:05 -0700", line[open+1:end])
	if err != nil {
		return at, "", "", "the time cannot be read"
	}
	request, rest, ok := quoted(strings.TrimSpace(line[end+1:]))
	if !ok {
		return at, "", "", "no \"request\""
	}
	parts := strings.Fields(request)
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/") {
		return at, "", "", "the request is not method, target and version"
	}
	fields := strings.Fields(rest)
	if len(fields) < 2 || len(fields[0]) != 3 || strings.Trim(fields[0], "0123456789") != "" ||
		fields[1] != "-" && strings.Trim(fields[1], "0123456789") != "" {
		return at, "", "", "no status and size"
	}
	return at, parts[0], parts[1], ""
}

// quoted takes a quoted string, in which a backslash escapes, off the front of s.
func quoted(s string) (text, rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		return "", "", false
	}
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '"':
			return b.String(), s[i+1:], true
		case s[i] == '\\' && i+1 < len(s):
			i++
		}
		b.WriteByte(s[i])
	}
	return "", "", false
}

// ---- From entries to classes.

// Rules is the file that says which class an entry belongs to.
type Rules struct {
	Class []Rule `toml:"class"`
}

// Rule maps entries to a class. The first that fits is taken.
type Rule struct {
	Name   string `toml:"name"`    // the class
	Method string `toml:"method"`  // empty: any
	Path   string `toml:"path"`    // regular expression on the path without its query; empty: any
	Key    string `toml:"key"`     // regular expression; its first group is the key; empty: the last part of the path
	LeftMs int    `toml:"left_ms"` // how long the client waits

	path, key *regexp.Regexp
}

const mostLeftMs = 10 * 60 * 1000

// ReadRules reads and checks a file of rules.
func ReadRules(path string) (r Rules, err error) {
	meta, err := toml.DecodeFile(path, &r)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return r, errors.New(line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return r, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if len(r.Class) == 0 {
		return r, errors.New("class: missing")
	}
	for i := range r.Class {
		c := &r.Class[i]
		at := fmt.Sprintf("class[%d]", i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/ ?#\r\n") {
			return r, fmt.Errorf("%s.name: %q is no name of a class", at, c.Name)
		}
		if c.LeftMs < 1 || c.LeftMs > mostLeftMs {
			return r, fmt.Errorf("%s.left_ms: %d is not between 1 and %d", at, c.LeftMs, mostLeftMs)
		}
		if c.path, err = regexp.Compile(c.Path); err != nil {
			return r, fmt.Errorf("%s.path: %w", at, err)
		}
		if c.key, err = regexp.Compile(c.Key); err != nil {
			return r, fmt.Errorf("%s.key: %w", at, err)
		}
		if c.Key != "" && c.key.NumSubexp() < 1 {
			return r, fmt.Errorf("%s.key: no group", at)
		}
	}
	return r, nil
}

// Map finds the rule and the key of an entry; nil: no rule fits.
func (r *Rules) Map(e *Entry) (rule *Rule, key string) {
	path, _, _ := strings.Cut(e.Path, "?")
	for i := range r.Class {
		c := &r.Class[i]
		if c.Method != "" && c.Method != e.Method || !c.path.MatchString(path) {
			continue
		}
		if c.Key == "" {
			return c, path[strings.LastIndexByte(path, '/')+1:]
		}
		if m := c.key.FindStringSubmatch(path); m != nil {
			key = m[1]
		}
		return c, key
	}
	return nil, ""
}
