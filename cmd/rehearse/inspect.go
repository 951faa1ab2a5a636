package main

import (
	"fmt"
	"io"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// inspectCmd checks a recording and writes its contents.
type inspectCmd struct {
	JSON bool   `name:"json" help:"Print as JSON."`
	File string `arg:"" help:"The recording."`
}

// Run reads the recording to its end and writes what it contains.
func (c *inspectCmd) Run(env *environment) error {
	reader, closeAll, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer closeAll()
	contents, err := readContents(reader)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.JSON {
		contents.Header = reader.Header
		return writeJSON(env.out, contents)
	}
	writeContents(env.out, reader.Header, contents)
	return nil
}

// maxCountedKeys limits the number of different keys that are counted, and thus the memory for them.
const maxCountedKeys = 1_000_000

// readContents reads a recording to its end. It leaves the field Header empty.
func readContents(reader *recording.Reader) (recordingContents, error) {
	contents := recordingContents{
		Version: reader.Header.Version,
		Start:   time.UnixMicro(reader.Header.StartUnixUs).UTC(),
		Classes: map[string]*classContents{},
	}
	keys := map[uint64]struct{}{}
	currentSecond := time.Duration(-1)
	inSecond := 0 // number of entries in the current second
	err := reader.ForEach(func(entry *recording.Entry) error {
		contents.Entries++
		contents.SpanS = entry.Arrival.Seconds()
		contents.addToClass(reader.Header.Classes[entry.Class], entry)
		if len(keys) < maxCountedKeys {
			keys[entry.Key] = struct{}{}
		}
		if second := entry.Arrival.Truncate(time.Second); second != currentSecond {
			currentSecond = second
			inSecond = 0
		}
		inSecond++
		contents.PeakRate = max(contents.PeakRate, inSecond)
		return nil
	})
	contents.Keys = len(keys)
	return contents, err
}

// addToClass counts an entry in its class.
func (c *recordingContents) addToClass(class *recordingpb.Class, entry *recording.Entry) {
	counts := c.Classes[class.Name]
	if counts == nil {
		counts = &classContents{Retryable: class.Retryable}
		c.Classes[class.Name] = counts
	}
	counts.Entries++
	counts.WorkS += entry.Slots * entry.Duration.Seconds()
	if entry.Repairs&recording.DrawnDuration != 0 {
		counts.DrawnDurations++
	}
	if entry.Repairs&recording.SyntheticKey != 0 {
		counts.GeneratedKeys++
	}
}

// writeContents writes the contents of a recording as text.
func writeContents(out io.Writer, header *recordingpb.Header, contents recordingContents) {
	fmt.Fprintf(out, "%d entries from %s on, over %.1f s, at most %d in a second, %d keys\n", contents.Entries,
		contents.Start.Format(time.RFC3339), contents.SpanS, contents.PeakRate, contents.Keys)
	for _, class := range header.Classes {
		if counts := contents.Classes[class.Name]; counts != nil {
			writeClass(out, class.Name, counts)
		}
	}
	imported := header.Counts
	fmt.Fprintf(out, "imported: read %d, accepted %d, malformed %d, unmapped %d, ignored %d, repaired %d; seed %d\n",
		imported.GetRead(), imported.GetAccepted(), imported.GetMalformed(), imported.GetUnmapped(), imported.GetIgnored(),
		imported.GetRepaired(), header.Seed)
	for _, source := range header.Sources {
		writeSource(out, source)
	}
	for _, line := range header.History {
		fmt.Fprintf(out, "then: %s\n", line)
	}
}

// writeClass writes the counts of one class as text.
func writeClass(out io.Writer, name string, counts *classContents) {
	idempotency := "not idempotent: replayed only to proven stand-ins"
	if counts.Retryable {
		idempotency = "retryable"
	}
	fmt.Fprintf(out, "class %s: %d entries, %.1f s of work, %s; %d durations drawn, %d keys generated\n",
		name, counts.Entries, counts.WorkS, idempotency, counts.DrawnDurations, counts.GeneratedKeys)
}

// writeSource writes a source of a recording as text.
func writeSource(out io.Writer, source *recordingpb.Source) {
	fmt.Fprintf(out, "source %s (%s, stamps mark the %s): sha256 %x\n", source.Name, source.Format, source.Stamp, source.Sha256)
	switch {
	case source.Estimated:
		fmt.Fprintf(out, "  clock offset %+.3f s, estimated from %d requests, half of them within %.3f s\n",
			secondsFromMicroseconds(source.OffsetUs), source.Pairs, secondsFromMicroseconds(source.SpreadUs))
	case source.OffsetUs != 0:
		fmt.Fprintf(out, "  clock offset %+.3f s, given\n", secondsFromMicroseconds(source.OffsetUs))
	}
	if source.Cut != "" {
		fmt.Fprintf(out, "  cut: %s\n", source.Cut)
	}
}

// secondsFromMicroseconds converts microseconds to seconds.
func secondsFromMicroseconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }

// recordingContents is the output of inspect.
type recordingContents struct {
	Version  uint32                    `json:"version"`
	Entries  uint64                    `json:"entries"`
	Start    time.Time                 `json:"start"`
	SpanS    float64                   `json:"span_s"`
	PeakRate int                       `json:"peak_per_s"`
	Classes  map[string]*classContents `json:"classes"`
	Keys     int                       `json:"keys"` // different keys, at most maxCountedKeys
	Header   any                       `json:"header"`
}

// classContents are the counts of one class.
type classContents struct {
	Entries        int     `json:"entries"`
	Retryable      bool    `json:"retryable"`
	WorkS          float64 `json:"work_s"` // sum of slots times durations
	DrawnDurations int     `json:"durations_drawn"`
	GeneratedKeys  int     `json:"keys_made_up"`
}
