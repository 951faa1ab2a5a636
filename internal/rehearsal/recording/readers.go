package recording

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	kgzip "github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
)

// This file owns the way from bytes to Raws: unpacking by content, lines with
// their numbers and offsets, and HAR as a stream. Memory is bounded by the
// longest line or the longest text of a HAR file's entry that is kept. It must
// never hold a whole input.

const (
	maxLineBytes   = 256 << 10 // bytes of a line that is read; longer ones are malformed
	detectionBytes = 64 << 10  // that the format is found from
	maxHAREntryBytes  = 8 << 20   // of a HAR entry without the texts of its bodies
)

// hashingReader hashes what passes: SHA-256 of all of it, and of a part of it in a
// form that nobody without the input can work out from the first.
type hashingReader struct {
	reader      io.Reader
	full    hash.Hash
	secretSample hash.Hash
	bytes  int64
}

func (d *hashingReader) Read(p []byte) (int, error) {
	n, err := d.reader.Read(p)
	d.full.Write(p[:n])
	const part, of = 64 << 10, 1 << 20 // the first 64 KiB of each MiB
	for at, left := d.bytes, p[:n]; len(left) > 0; {
		in := at % of
		step := min(int64(len(left)), of-in)
		if in < part {
			d.secretSample.Write(left[:min(step, part-in)])
		}
		at, left = at+step, left[step:]
	}
	d.bytes += int64(n)
	return n, err
}

func newHashingReader(r io.Reader) *hashingReader {
	d := &hashingReader{reader: r, full: sha256.New(), secretSample: sha256.New()}
	io.WriteString(d.secretSample, "hollyyoke: pseudonyms of members\n")
	return d
}

// unpack reads gzip and zstd by what the content starts with.
func unpack(r io.Reader) (*bufio.Reader, error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	head, err := in.Peek(4)
	if err != nil && !errors.Is(err, io.EOF) {
		return in, err
	}
	switch {
	case len(head) >= 2 && head[0] == 0x1f && head[1] == 0x8b:
		z, err := kgzip.NewReader(in)
		if err != nil {
			return nil, fmt.Errorf("gzip: %w", err)
		}
		return bufio.NewReaderSize(z, maxLineBytes), nil
	case len(head) == 4 && bytes.Equal(head, []byte{0x28, 0xb5, 0x2f, 0xfd}):
		z, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxWindow(16<<20))
		if err != nil {
			return nil, fmt.Errorf("zstd: %w", err)
		}
		return bufio.NewReaderSize(z, maxLineBytes), nil
	}
	return in, nil
}

// position is where a line or an entry stands.
type position struct {
	line   int   // from 1; of a HAR file the entry
	offset int64 // of its first byte, in the unpacked text
}

// bad is a line or an entry that cannot be read, as an error.
type bad struct{ why error }

func (b bad) Error() string { return b.why.Error() }

// entryHandler takes one entry; err tells that it is malformed. blank lines are not told.
type entryHandler func(at position, r *RawEntry, err error) error

// readLines reads a log line by line. The error returned is the input's own.
func readLines(in *bufio.Reader, f *Format, each entryHandler) error {
	var r RawEntry
	at := position{line: 1}
	for {
		text, err := in.ReadSlice('\n')
		size := int64(len(text))
		long := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) { // passed over to its end
			var more []byte
			more, err = in.ReadSlice('\n')
			size += int64(len(more))
		}
		if err != nil && !errors.Is(err, io.EOF) {
			if size > 0 {
				if e := each(at, nil, bad{fmt.Errorf("cut off: %w", err)}); e != nil {
					return e
				}
			}
			return err
		}
		if at.line == 1 {
			text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
		}
		line := bytes.TrimRight(text, "\r\n")
		var e error
		switch {
		case long:
			e = each(at, nil, bad{errLineTooLong})
		case len(bytes.TrimSpace(line)) == 0:
		default:
			if why := f.Parse(string(line), &r); why != nil {
				e = each(at, nil, bad{why})
			} else {
				e = each(at, &r, nil)
			}
		}
		if e != nil {
			return e
		}
		at.line, at.offset = at.line+1, at.offset+size
		if err != nil {
			return nil
		}
	}
}

// harEntry is what is read of a HAR entry: neither headers nor bodies.
type harEntry struct {
	Started  string   `json:"startedDateTime"`
	Time     *float64 `json:"time"`
	Kind     string   `json:"_resourceType"`
	Cache    string   `json:"_fromCache"`
	Error    string   `json:"_error"`
	Response struct {
		Status int `json:"status"`
	} `json:"response"`
	Request struct {
		Method string `json:"method"`
		URL    string `json:"url"`
		Body   int    `json:"bodySize"`
	} `json:"request"`
	Timings struct {
		Send    *float64 `json:"send"`
		Wait    *float64 `json:"wait"`
		Receive *float64 `json:"receive"`
	} `json:"timings"`
}

// harFields are the objects that are gone into, and the members that are kept.
var harFields = map[string]map[string]bool{
	"":         {"startedDateTime": true, "time": true, "_resourceType": true, "_fromCache": true, "_error": true},
	"request":  {"method": true, "url": true, "bodySize": true},
	"response": {"status": true},
	"timings":  {"send": true, "wait": true, "receive": true},
}

// readHAR reads a HAR file as a stream. What was read before a cut counts; the
// cut is the error returned.
func readHAR(in *bufio.Reader, each entryHandler) error {
	if head, _ := in.Peek(3); bytes.Equal(head, []byte("\xef\xbb\xbf")) {
		in.Discard(3)
	}
	d := jsontext.NewDecoder(in, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true))
	version, seen := "", false
	err := readMembers(d, func(key string) error {
		if key != "log" {
			return d.SkipValue()
		}
		return readMembers(d, func(key string) error {
			switch {
			case key == "version" && d.PeekKind() == '"':
				t, err := d.ReadToken()
				version = t.String()
				return err
			case key == "entries":
				seen = true
				return readHAREntries(d, each)
			}
			return d.SkipValue()
		})
	})
	switch {
	case err != nil:
		var e handlerError
		if errors.As(err, &e) {
			return e.error
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("HAR, at byte %d: %s", d.InputOffset(), describeJSONError(err))
	case !seen:
		return errors.New("HAR: log.entries: missing")
	case version != "1.2" && version != "1.1":
		return fmt.Errorf("HAR: log.version: not 1.2")
	}
	return nil
}

// describeJSONError words an error of the JSON reader without any of the text read.
func describeJSONError(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "the file ends early"
	}
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		return "no JSON that can be read"
	}
	return "it cannot be read: " + err.Error()
}

// handlerError tells the taker's own errors from the input's.
type handlerError struct{ error }

// readMembers walks through an object; each takes the value.
func readMembers(d *jsontext.Decoder, each func(key string) error) error {
	t, err := d.ReadToken()
	if err != nil {
		return err
	}
	if t.Kind() != '{' {
		return errors.New("no object where one belongs")
	}
	for d.PeekKind() != '}' {
		t, err := d.ReadToken()
		if err != nil {
			return err
		}
		if t.Kind() != '"' {
			return io.ErrUnexpectedEOF
		}
		if err := each(t.String()); err != nil {
			return err
		}
	}
	_, err = d.ReadToken()
	return err
}

func readHAREntries(d *jsontext.Decoder, each entryHandler) error {
	if t, err := d.ReadToken(); err != nil || t.Kind() != '[' {
		return errors.Join(errors.New("log.entries is no array"), err)
	}
	var text []byte
	for at := (position{line: 1}); d.PeekKind() != ']'; at.line++ {
		var why error
		at.offset = d.InputOffset()
		if d.PeekKind() != '{' {
			if err := d.SkipValue(); err != nil {
				return err
			}
			why = errors.New("the entry is no object")
		} else {
			var err error
			if text, err = copyHARFields(d, text[:0]); err != nil {
				return err
			}
		}
		r := &RawEntry{Duration: -1, ServiceTime: -1, StampsArrival: true}
		if why == nil {
			if len(text) > maxHAREntryBytes {
				why = errors.New("the entry is too long")
			} else {
				why = parseHAREntry(text, r)
			}
		}
		var err error
		if why != nil {
			err = each(at, nil, bad{why})
		} else {
			err = each(at, r, nil)
		}
		if err != nil {
			return handlerError{err}
		}
	}
	_, err := d.ReadToken()
	return err
}

// copyHARFields copies the wanted members of an entry; the rest is passed over.
func copyHARFields(decoder *jsontext.Decoder, out []byte) ([]byte, error) {
	out = append(out, '{')
	comma := func() {
		if out[len(out)-1] != '{' {
			out = append(out, ',')
		}
	}
	err := readMembers(decoder, func(key string) error {
		if inner := harFields[key]; inner != nil && key != "" && decoder.PeekKind() == '{' {
			comma()
			out = append(append(append(out, '"'), key...), `":{`...)
			if err := readMembers(decoder, func(key string) error {
				if !inner[key] {
					return decoder.SkipValue()
				}
				return copyHARValue(decoder, &out, key, comma)
			}); err != nil {
				return err
			}
			out = append(out, '}')
			return nil
		}
		if key == "_webSocketMessages" {
			comma()
			out = append(out, `"_resourceType":"websocket"`...)
			return decoder.SkipValue()
		}
		if !harFields[""][key] {
			return decoder.SkipValue()
		}
		return copyHARValue(decoder, &out, key, comma)
	})
	return append(out, '}'), err
}

func copyHARValue(d *jsontext.Decoder, out *[]byte, key string, comma func()) error {
	v, err := d.ReadValue()
	if err != nil {
		return err
	}
	if len(*out)+len(v) <= maxHAREntryBytes {
		comma()
		*out = append(append(append(append(append(*out, '"'), key...), '"'), ':'), v...)
	} else if len(*out) <= maxHAREntryBytes {
		*out = append(*out, make([]byte, maxHAREntryBytes)...) // told as too long
	}
	return nil
}

// parseHAREntry reads one entry.
func parseHAREntry(text []byte, r *RawEntry) error {
	var e harEntry
	if err := json.Unmarshal(text, &e, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)); err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && semantic.JSONPointer != "" {
			return fmt.Errorf("%s: a value of the wrong kind", strings.ReplaceAll(string(semantic.JSONPointer)[1:], "/", "."))
		}
		return errors.New("a value of the wrong kind")
	}
	at, err := time.Parse(time.RFC3339Nano, e.Started)
	if err != nil {
		at, err = time.Parse("2006-01-02T15:04:05.999999999Z0700", e.Started)
	}
	if err != nil || at.Year() < 1970 {
		return errors.New("startedDateTime: no time")
	}
	r.Timestamp, r.Resolution, r.Method, r.Status = at.UnixMicro(), 1000, e.Request.Method, e.Response.Status
	scheme, _, _ := strings.Cut(e.Request.URL, ":")
	switch scheme = strings.ToLower(scheme); {
	case scheme == "data" || scheme == "blob" || scheme == "about" || strings.HasSuffix(scheme, "-extension") || scheme == "file":
		r.Ignored = "no request to a server"
	case scheme == "ws" || scheme == "wss" || e.Kind == "websocket":
		r.Ignored = "a websocket"
	case e.Cache != "":
		r.Ignored = "answered from the browser's cache"
	case strings.HasPrefix(e.Error, "net::ERR_BLOCKED"), e.Error == "net::ERR_NAME_NOT_RESOLVED",
		e.Error == "net::ERR_CONNECTION_REFUSED", e.Error == "net::ERR_INTERNET_DISCONNECTED":
		r.Ignored = "never sent"
	}
	if r.Ignored != "" {
		return nil
	}
	u, err := url.Parse(e.Request.URL)
	if err != nil || u.Scheme != "" && u.Host == "" || e.Request.URL == "" {
		return errors.New("request.url: no URL that can be read")
	}
	if r.Target = u.EscapedPath(); r.Target == "" {
		r.Target = "/"
	}
	if u.RawQuery != "" {
		r.Target += "?" + u.RawQuery
	}
	if !isMethodToken(r.Method) {
		return errors.New("request.method: none")
	}
	r.BodyBytes = max(e.Request.Body, 0)
	// What the server and the way there took, without the browser's own queue;
	// an answer that never came (status 0) tells nothing of it.
	if r.Status != 0 {
		t := &e.Timings
		known := func(x *float64) int64 {
			if x == nil || *x < 0 || *x > 24*3600*1e3 {
				return 0
			}
			return int64(*x * 1000)
		}
		if t.Wait != nil && *t.Wait >= 0 {
			r.Duration = known(t.Send) + known(t.Wait) + known(t.Receive)
		} else if e.Time != nil && *e.Time >= 0 {
			r.Duration = known(e.Time)
		}
	}
	return r.normalize()
}
