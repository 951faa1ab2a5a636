package recording

import (
	"strings"
	"testing"
	"time"
)

// Guards against accepting the timestamps of all suspects at the end of a log. An outlier on the last
// line then made the recording 73 years long, which the reader rejects. And if accepting suspects left
// a new suspect, that last entry was lost.
func TestClockUncertainAtEndOfLog(t *testing.T) {
	for name, test := range map[string]struct {
		completed func(line int) time.Time
		outliers  int
		steps     int
	}{
		"an outlier on the last line": {
			completed: func(line int) time.Time {
				if line == clockStepLines-1 {
					return logStart.AddDate(73, 0, 0)
				}
				return nthSecond(line)
			},
			outliers: 1,
		},
		"a step back, and an outlier on the last line": {
			completed: func(line int) time.Time {
				switch {
				case line == clockStepLines-1:
					return logStart.AddDate(73, 0, 0)
				case line >= clockStepLines-4:
					return nthSecond(line).Add(-time.Hour)
				}
				return nthSecond(line)
			},
			outliers: 1,
			steps:    1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			for line := range clockStepLines {
				text.WriteString(statusLine(test.completed(line), line, 0))
			}
			imported := importTexts(t, Options{Seed: 1}, text.String())
			source := imported.source()
			if imported.report.Accepted != clockStepLines || len(imported.entries) != clockStepLines {
				t.Fatalf("%d accepted, %d in the recording, want %d", imported.report.Accepted, len(imported.entries), clockStepLines)
			}
			if source.OutlierTimestamps != test.outliers || source.ClockSteps != test.steps {
				t.Errorf("%+v, want %d outliers and %d steps", source, test.outliers, test.steps)
			}
			if span := imported.entries[clockStepLines-1].Arrival; span > clockStepLines*time.Second {
				t.Errorf("the recording spans %v", span)
			}
		})
	}
}
