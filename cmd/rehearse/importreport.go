package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// maxListedRejects is the number of malformed entries that a report in text form lists.
const maxListedRejects = 20

// writeImportReport writes the report of an import as text.
func writeImportReport(w io.Writer, report *recording.Report) {
	fmt.Fprintf(w, "read %d = accepted %d + malformed %d + unmapped %d + ignored %d; repaired %d of the accepted\n",
		report.Read, report.Accepted, report.Malformed, report.Unmapped, report.Ignored, report.Repaired)
	for _, repair := range slices.Sorted(maps.Keys(report.Repairs)) {
		fmt.Fprintf(w, "repaired: %d  %s\n", report.Repairs[repair], repair)
	}
	for _, rule := range slices.Sorted(maps.Keys(report.IgnoredBy)) {
		fmt.Fprintf(w, "ignored: %d  %s\n", report.IgnoredBy[rule], rule)
	}
	for _, name := range slices.Sorted(maps.Keys(report.Classes)) {
		class := report.Classes[name]
		fmt.Fprintf(w, "class %s: %d entries; durations: %d recorded, %d drawn from those, %d drawn as the rules say; keys made up: %d\n",
			name, class.Entries, class.Recorded, class.DrawnRecorded, class.DrawnRules, class.SyntheticKeys)
	}
	if report.Repairs["key made up"] > 0 {
		fmt.Fprintf(w, "made-up keys: %s\n", report.SyntheticKeys)
	}
	for i, source := range report.Sources {
		isReference := i == 0 // clock offsets of the other sources are relative to the first
		writeImportedSource(w, source, isReference)
	}
	writeRejects(w, report)
	if report.Accepted > 0 {
		fmt.Fprintf(w, "from %s on, over %.1f s\n", report.Start.Format(time.RFC3339), report.SpanSeconds)
	}
}

// writeImportedSource writes the part of one source.
func writeImportedSource(w io.Writer, source *recording.SourceReport, isReference bool) {
	fmt.Fprintf(w, "source %s: %s, stamps mark the %s, read %d, accepted %d",
		source.Name, source.Format, source.Stamp, source.Read, source.Accepted)
	switch {
	case source.Estimated:
		fmt.Fprintf(w, "; clock offset %+.3f s, estimated from %d requests, half within %.3f s",
			secondsFromMicroseconds(source.OffsetUs), source.Pairs, secondsFromMicroseconds(source.SpreadUs))
	case source.OffsetUs != 0:
		fmt.Fprintf(w, "; clock offset %+.3f s, given", secondsFromMicroseconds(source.OffsetUs))
	case !isReference:
		fmt.Fprint(w, "; clock offset not known: too few requests that another source saw too")
	}
	if source.ClockSteps > 0 {
		fmt.Fprintf(w, "; its clock stepped back %d times, by %.3f s", source.ClockSteps, secondsFromMicroseconds(source.SteppedUs))
	}
	if source.OutlierTimestamps > 0 {
		fmt.Fprintf(w, "; %d odd stamps", source.OutlierTimestamps)
	}
	if source.Reordered {
		fmt.Fprint(w, "; its files were put in order")
	}
	fmt.Fprintln(w)
	if source.Truncation != "" {
		fmt.Fprintf(w, "  cut: %s\n", source.Truncation)
	}
}

// writeRejects lists the first malformed entries.
func writeRejects(w io.Writer, report *recording.Report) {
	for i, reject := range report.Rejects {
		if i == maxListedRejects {
			fmt.Fprintf(w, "and %d more malformed\n", len(report.Rejects)-i+int(report.UnlistedRejects))
			break
		}
		fmt.Fprintf(w, "%s: line %d, byte %d: %s\n", reject.Source, reject.Line, reject.Offset, reject.Reason)
	}
}
