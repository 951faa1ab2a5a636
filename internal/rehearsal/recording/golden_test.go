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
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// These tests detect changes of the file format: recordings of earlier builds must be read with the same
// content, and the same import must give the same bytes. The flag -update rewrites the text files in
// testdata, but not the recordings, which were made by an earlier build.

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
	return openRecording(t, readGolden(t, name))
}

// goldenImport is the result of an import of the two short logs in testdata.
type goldenImport struct {
	file    []byte
	report  *Report
	rejects []byte // as JSON lines
}

// importGoldenLogs imports the two short logs in testdata. Some requests are in both logs.
func importGoldenLogs(t *testing.T, secret string) goldenImport {
	t.Helper()
	rulesText := readGolden(t, "rules.toml")
	var rejects bytes.Buffer
	rejectEncoder := json.NewEncoder(&rejects)
	options := Options{
		Rules:     testRules(t, string(rulesText)),
		RulesText: rulesText,
		Seed:      7,
		Secret:    []byte(secret),
		Spool:     &memorySpool{},
		Offsets:   map[string]time.Duration{"inner": 1500 * time.Millisecond},
		OnReject: func(reject Reject) {
			if err := rejectEncoder.Encode(reject); err != nil {
				t.Error(err)
			}
		},
	}
	var inputs []Input
	for _, name := range []string{"edge", "inner"} {
		file := name + ".log"
		inputs = append(inputs, Input{Source: name, File: file, Reader: bytes.NewReader(readGolden(t, file))})
	}
	var out bytes.Buffer
	report, err := Import(inputs, options, &out)
	if err != nil {
		t.Fatal(err)
	}
	return goldenImport{file: out.Bytes(), report: report, rejects: rejects.Bytes()}
}

// describeCounts formats counts as text that does not depend on the names of the fields.
func describeCounts(counts *recordingpb.Counts) string {
	return fmt.Sprintf("read %d, accepted %d, malformed %d, unmapped %d, ignored %d, repaired %d",
		counts.GetRead(), counts.GetAccepted(), counts.GetMalformed(), counts.GetUnmapped(), counts.GetIgnored(), counts.GetRepaired())
}

func describeSource(source *recordingpb.Source) string {
	identity := fmt.Sprintf("source %q, sha256 %x, format %q, stamp %q", source.Name, source.Sha256, source.Format, source.Stamp)
	offset := fmt.Sprintf("offset %d us, estimated %v of %d pairs with spread %d us",
		source.OffsetUs, source.Estimated, source.Pairs, source.SpreadUs)
	content := fmt.Sprintf("cut %q, files %q: %s", source.Cut, source.Files, describeCounts(source.Counts))
	return identity + ", " + offset + ", " + content
}

func describeHeader(out io.Writer, header *recordingpb.Header) {
	fmt.Fprintf(out, "version %d, seed %d, rules %x, start %d us, entries %d, keys made up %q, history %q\n",
		header.Version, header.Seed, header.RulesSha256, header.StartUnixUs, header.Entries, header.MadeUpKeys, header.History)
	fmt.Fprintln(out, describeCounts(header.Counts))
	for _, class := range header.Classes {
		fmt.Fprintf(out, "class %q, may be repeated %v\n", class.Name, class.Retryable)
	}
	for _, source := range header.Sources {
		fmt.Fprintln(out, describeSource(source))
	}
	for _, name := range slices.Sorted(maps.Keys(header.Repairs)) {
		fmt.Fprintf(out, "repaired %d: %s\n", header.Repairs[name], name)
	}
}

func describeEntry(entry *Entry) string {
	key := fmt.Sprintf("at %v class %d key %s", entry.Arrival, entry.Class, entry.KeyText())
	work := fmt.Sprintf("took %v effort %v left %v slots %g", entry.Duration, entry.Effort, entry.Timeout, entry.Slots)
	origin := fmt.Sprintf("body %d status %d source %d repairs %b", entry.BodyBytes, entry.Status, entry.Source, entry.Repairs)
	return key + " " + work + " " + origin
}

// describeRecording formats the whole content of a recording.
func describeRecording(t *testing.T, reader *Reader) string {
	t.Helper()
	var out bytes.Buffer
	describeHeader(&out, reader.Header)
	err := reader.ForEach(func(entry *Entry) error {
		_, err := fmt.Fprintln(&out, describeEntry(entry))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// The same logs, rules and seed give the same recording, report and rejects, both without and with a
// given secret for the pseudonyms.
func TestGoldenImport(t *testing.T) {
	imported := importGoldenLogs(t, "")
	checkRecording(t, "recording-version-1.rec", imported.file)
	goldentest.Compare(t, "rejects.jsonl", string(imported.rejects))
	text, err := json.MarshalIndent(imported.report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "report.json", string(text)+"\n")
	withSecret := importGoldenLogs(t, "a secret of sixteen bytes or more")
	checkRecording(t, "recording-version-1-secret.rec", withSecret.file)
}

// A recording of an earlier build is read with the same content.
func TestGoldenRead(t *testing.T) {
	goldentest.Compare(t, "recording.txt", describeRecording(t, openGolden(t, "recording-version-1.rec")))
}

// Slice, Scale and Merge derive the same content from a recording of an earlier build.
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
			goldentest.Compare(t, golden, describeRecording(t, openRecording(t, out.Bytes())))
		})
	}
}

// If a class has more recorded durations than its reservoir holds, the reservoir and the durations that
// are drawn from it depend only on the log and the seed.
func TestGoldenSample(t *testing.T) {
	const (
		recorded = 9000
		missing  = 8
	)
	var log strings.Builder
	for i := range recorded {
		log.WriteString(statusLine(logStart.Add(time.Duration(i)*time.Second), i, float64(i+1)/1000))
	}
	for i := range missing {
		log.WriteString(statusLine(logStart.Add((recorded+time.Duration(i))*time.Second), 1, noDuration))
	}
	imported := importTexts(t, Options{Seed: 7}, log.String())
	var out strings.Builder
	for _, entry := range imported.entries {
		if entry.Repairs&DrawnDuration != 0 {
			fmt.Fprintln(&out, entry.Duration)
		}
	}
	goldentest.Compare(t, "sample.txt", out.String())
}
