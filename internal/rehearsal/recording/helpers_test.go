package recording

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
)

const rulesText = `
[[class]]
name = "renewal"
method = "POST"
path = "^/members/[^/]+/renew$"
key = "^/members/([^/]+)/"
left_ms = 8000
[[class]]
name = "status-check"
path = "^/members/[^/]*/status$"
key = "^/members/([^/]+)/"
left_ms = 5000
repeat = "retryable"
effort_factor = 2
duration_ms = 40
[redacted]
members = 50
`

// logStart is the time of the first entry of most logs in the tests.
var logStart = time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)

// noDuration makes combinedLine write a line without a duration.
const noDuration = -1

// memorySpool keeps runs in memory.
type memorySpool struct{ runs []*bytes.Buffer }

// nopCloser is a buffer with a Close that does nothing.
type nopCloser struct{ *bytes.Buffer }

func (nopCloser) Close() error { return nil }

func (s *memorySpool) Create() (io.WriteCloser, error) {
	run := &bytes.Buffer{}
	s.runs = append(s.runs, run)
	return nopCloser{run}, nil
}

func (s *memorySpool) Open(run int) (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(s.runs[run].Bytes())), nil
}

// testRules reads rules and fails the test if they are invalid.
func testRules(t testing.TB, text string) *Rules {
	t.Helper()
	rules, err := ReadRules([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &rules
}

// importResult is the result of an import. If no entry was accepted, entries and file are nil.
type importResult struct {
	report  *Report
	entries []Entry
	file    []byte
}

// source returns the report of the first source.
func (r *importResult) source() *SourceReport { return r.report.Sources[0] }

// importTexts imports each text as a separate source, and checks what importInputs checks.
func importTexts(t testing.TB, options Options, texts ...string) importResult {
	t.Helper()
	var inputs []Input
	for i, text := range texts {
		name := fmt.Sprintf("s%d", i)
		inputs = append(inputs, Input{Source: name, File: name + ".log", Reader: strings.NewReader(text)})
	}
	return importInputs(t, options, inputs)
}

// importInputs imports inputs, with the rules in rulesText unless the options have others. It fails the
// test if the counts of the report do not add up.
func importInputs(t testing.TB, options Options, inputs []Input) importResult {
	t.Helper()
	if options.Rules == nil {
		options.Rules = testRules(t, rulesText)
		options.RulesText = []byte(rulesText)
	}
	options.Spool = &memorySpool{}
	var out bytes.Buffer
	report, err := Import(inputs, options, &out)
	if err != nil && !errors.Is(err, ErrNoEntries) {
		t.Fatal(err)
	}
	if !report.Balanced() {
		t.Errorf("counts do not add up: %+v", report.Counts)
	}
	if errors.Is(err, ErrNoEntries) {
		return importResult{report: report}
	}
	return importResult{report: report, entries: readEntries(t, out.Bytes()), file: out.Bytes()}
}

// openRecording opens a recording, which is closed when the test ends. The test fails if it cannot be
// opened.
func openRecording(t testing.TB, file []byte) *Reader {
	t.Helper()
	reader, err := NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reader.Close)
	return reader
}

// readEntries reads all entries of a recording and fails the test if the recording is invalid.
func readEntries(t testing.TB, file []byte) (entries []Entry) {
	t.Helper()
	reader := openRecording(t, file)
	err := reader.ForEach(func(entry *Entry) error {
		entries = append(entries, *entry)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// combinedLine formats a line in the format combined+s. seconds is the duration; if it is negative, the
// line has none.
func combinedLine(completed time.Time, method, path string, seconds float64) string {
	duration := "-"
	if seconds >= 0 {
		duration = fmt.Sprintf("%.3f", seconds)
	}
	return fmt.Sprintf("10.1.2.3 - - [%s] \"%s %s HTTP/1.1\" 200 12 \"-\" \"kiosk\" %s\n",
		completed.Format("02/Jan/2006:15:04:05 -0700"), method, path, duration)
}

// statusLine formats a line in the format combined+s for the status check of a member.
func statusLine(completed time.Time, member any, seconds float64) string {
	return combinedLine(completed, "GET", fmt.Sprintf("/members/%v/status", member), seconds)
}

// renewalLine formats a line in the format combined+s for the renewal of a member.
func renewalLine(completed time.Time, member any, seconds float64) string {
	return combinedLine(completed, "POST", fmt.Sprintf("/members/%v/renew", member), seconds)
}

// gzipped compresses text with gzip.
func gzipped(t testing.TB, text string) []byte {
	t.Helper()
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if _, err := io.WriteString(compressor, text); err != nil {
		t.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// zstdCompressed compresses plain with zstd.
func zstdCompressed(t testing.TB, plain []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	compressor, err := zstd.NewWriter(&out)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := compressor.Write(plain); err != nil {
		t.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// zstdDecompressed decompresses a file that was compressed with zstd, such as a recording.
func zstdDecompressed(t testing.TB, file []byte) []byte {
	t.Helper()
	decoder, err := zstd.NewReader(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	defer decoder.Close()
	plain, err := io.ReadAll(decoder)
	if err != nil {
		t.Fatal(err)
	}
	return plain
}
