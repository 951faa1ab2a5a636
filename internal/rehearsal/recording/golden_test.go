package recording

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// These tests fix the format of recordings: files of earlier builds must be read to the same
// content, and the same import must give the same bytes. The flag -update rewrites the texts, but not
// the recordings, which stand for those of earlier builds.

// checkRecording compares a recording with one of an earlier build, byte for byte.
func checkRecording(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%.20000q\nwant:\n%.20000q", name, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func openGolden(t *testing.T, name string) *Reader {
	t.Helper()
	r, err := NewReader(bytes.NewReader(readGolden(t, name)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// goldenImport imports the two short logs of the test data, which have some requests in common,
// and returns the rejects as JSON lines too.
func goldenImport(t *testing.T, secret string) (file []byte, report *Report, rejects []byte) {
	t.Helper()
	rules := readGolden(t, "rules.toml")
	parsed, err := ReadRules(rules)
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	options := Options{Rules: &parsed, RulesText: rules, Seed: 7, Secret: []byte(secret), Spool: &memorySpool{},
		Offsets: map[string]time.Duration{"inner": 1500 * time.Millisecond},
		OnReject: func(r Reject) {
			if err := encoder.Encode(r); err != nil {
				t.Error(err)
			}
		}}
	var inputs []Input
	for _, name := range []string{"edge", "inner"} {
		inputs = append(inputs, Input{Source: name, File: name + ".log", Reader: bytes.NewReader(readGolden(t, name+".log"))})
	}
	var out bytes.Buffer
	if report, err = Import(inputs, options, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes(), report, lines.Bytes()
}

// describeCounts formats counts independently of the field names.
func describeCounts(c *recordingpb.Counts) string {
	return fmt.Sprintf("read %d, accepted %d, malformed %d, unmapped %d, ignored %d, repaired %d",
		c.GetRead(), c.GetAccepted(), c.GetMalformed(), c.GetUnmapped(), c.GetIgnored(), c.GetRepaired())
}

func describeHeader(w io.Writer, h *recordingpb.Header) {
	fmt.Fprintf(w, "version %d, seed %d, rules %x, start %d us, entries %d, keys made up %q, history %q\n",
		h.Version, h.Seed, h.RulesSha256, h.StartUnixUs, h.Entries, h.MadeUpKeys, h.History)
	fmt.Fprintln(w, describeCounts(h.Counts))
	for _, c := range h.Classes {
		fmt.Fprintf(w, "class %q, may be repeated %v\n", c.Name, c.Retryable)
	}
	for _, s := range h.Sources {
		fmt.Fprintf(w, "source %q, sha256 %x, format %q, stamp %q, offset %d us, estimated %v of %d pairs with spread %d us, cut %q, files %q: %s\n",
			s.Name, s.Sha256, s.Format, s.Stamp, s.OffsetUs, s.Estimated, s.Pairs, s.SpreadUs, s.Cut, s.Files, describeCounts(s.Counts))
	}
	for _, what := range slices.Sorted(maps.Keys(h.Repairs)) {
		fmt.Fprintf(w, "repaired %d: %s\n", h.Repairs[what], what)
	}
}

// describeRecording formats all content of a recording.
func describeRecording(t *testing.T, r *Reader) string {
	t.Helper()
	var out bytes.Buffer
	describeHeader(&out, r.Header)
	if err := r.ForEach(func(e *Entry) error {
		_, err := fmt.Fprintf(&out, "at %v class %d key %s took %v effort %v left %v slots %g body %d status %d source %d repairs %b\n",
			e.Arrival, e.Class, e.KeyText(), e.Duration, e.Effort, e.Timeout, e.Slots, e.BodyBytes, e.Status, e.Source, e.Repairs)
		return err
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// The same logs, rules and seed give the same recording, report and rejects; with a given secret
// also the same pseudonyms.
func TestGoldenImport(t *testing.T) {
	file, report, rejects := goldenImport(t, "")
	checkRecording(t, "recording-version-1.rec", file)
	goldentest.Compare(t, "rejects.jsonl", string(rejects))
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "report.json", string(text)+"\n")
	file, _, _ = goldenImport(t, "a secret of sixteen bytes or more")
	checkRecording(t, "recording-version-1-secret.rec", file)
}

// A recording of an earlier build is read to the same content.
func TestGoldenRead(t *testing.T) {
	goldentest.Compare(t, "recording.txt", describeRecording(t, openGolden(t, "recording-version-1.rec")))
}

// Slices, scaled and merged recordings have the same content.
func TestGoldenDerived(t *testing.T) {
	const name = "recording-version-1.rec"
	for golden, derive := range map[string]func(out io.Writer) error{
		"slice.txt": func(out io.Writer) error { return Slice(openGolden(t, name), out, time.Second, 6*time.Second) },
		"scale.txt": func(out io.Writer) error { return Scale(openGolden(t, name), out, 1.5, 2, 9) },
		"merge.txt": func(out io.Writer) error {
			return Merge([]*Reader{openGolden(t, name), openGolden(t, "recording-version-1-secret.rec")}, out, true)
		},
	} {
		t.Run(golden, func(t *testing.T) {
			var out bytes.Buffer
			if err := derive(&out); err != nil {
				t.Fatal(err)
			}
			r, err := NewReader(&out)
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			goldentest.Compare(t, golden, describeRecording(t, r))
		})
	}
}

// The sample of a class with more durations than are kept, and what is drawn from it, depend on
// the seed alone.
func TestGoldenSample(t *testing.T) {
	const recorded, missing = 9000, 8
	var log bytes.Buffer
	for i := range recorded {
		log.WriteString(combinedLine(logStart.Add(time.Duration(i)*time.Second), "GET", fmt.Sprintf("/members/%d/status", i), float64(i+1)/1000))
	}
	for i := range missing {
		log.WriteString(combinedLine(logStart.Add((recorded+time.Duration(i))*time.Second), "GET", "/members/1/status", -1))
	}
	_, list, _ := importTexts(t, Options{Seed: 7}, log.String())
	var out bytes.Buffer
	for _, e := range list {
		if e.Repairs&DrawnDuration != 0 {
			fmt.Fprintln(&out, e.Duration)
		}
	}
	goldentest.Compare(t, "sample.txt", out.String())
}
