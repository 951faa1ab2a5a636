package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ackExpiry = 90 * time.Second

// Subscribers are counted by version, and those below a relay by the version that the relay acknowledged.
func TestAckTrackerSummary(t *testing.T) {
	tracker := NewAckTracker(ackExpiry)
	tracker.Acknowledge(0, "d1", 5, 1)
	tracker.Acknowledge(0, "d2", 7, 1)
	tracker.Acknowledge(0, "relay", 6, 1235)
	want := Summary{
		Subscribers: 1237,
		Lowest:      5,
		Newest:      7,
		Cumulative:  []VersionCount{{5, 1237}, {6, 1236}, {7, 1}},
	}
	if got := tracker.Summary(0); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if count, total := tracker.CountAtLeast(0, 6); count != 1236 || total != 1237 {
		t.Errorf("%d of %d subscribers", count, total)
	}
	if got := NewAckTracker(ackExpiry).Summary(0); !reflect.DeepEqual(got, Summary{}) {
		t.Errorf("without subscribers: %+v", got)
	}
}

func TestAckTrackerExpiresSilentSubscribers(t *testing.T) {
	tracker := NewAckTracker(ackExpiry)
	tracker.Acknowledge(0, "silent", 5, 1)
	tracker.Acknowledge(0, "active", 5, 1)
	tracker.Acknowledge(time.Second, "active", 7, 1)
	if got := tracker.Summary(ackExpiry); got.Subscribers != 2 || got.Lowest != 5 {
		t.Errorf("%+v", got)
	}
	if got := tracker.Summary(ackExpiry + 1); got.Subscribers != 1 || got.Lowest != 7 {
		t.Errorf("%+v", got)
	}
	count, total := tracker.CountAtLeast(ackExpiry+time.Second+1, 0)
	if count != 0 || total != 0 || len(tracker.byName) != 0 {
		t.Errorf("%d of %d, %d names left; want none", count, total, len(tracker.byName))
	}
}

func TestAckTrackerCountsARestartedSubscriberAtItsCurrentVersion(t *testing.T) {
	tracker := NewAckTracker(ackExpiry)
	tracker.Acknowledge(0, "d1", 9, 1)
	tracker.Acknowledge(1, "d1", 4, 1)
	if count, total := tracker.CountAtLeast(1, 9); count != 0 || total != 1 {
		t.Errorf("%d of %d subscribers", count, total)
	}
}

func TestAckTrackerDoesNotCountARelayWithoutSubscribers(t *testing.T) {
	tracker := NewAckTracker(ackExpiry)
	tracker.Acknowledge(0, "relay", 9, 3)
	tracker.Acknowledge(0, "other", 9, 0)
	tracker.Acknowledge(1, "relay", 9, 0)
	if got := tracker.Summary(1); got.Subscribers != 0 || len(tracker.byName) != 0 {
		t.Errorf("%+v", got)
	}
}

// modelAck is the last acknowledgement of one subscriber.
type modelAck struct {
	version  Version
	count    int
	lastSeen time.Duration
}

// The counts equal those computed from a plain map of the last acknowledgements.
func TestAckTrackerCountsMatchAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewAckTracker(ackExpiry)
		model := map[string]modelAck{}
		var now time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			name := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "name"))
			ack := modelAck{Version(rapid.IntRange(0, 5).Draw(t, "version")), rapid.IntRange(0, 3).Draw(t, "count"), now}
			tracker.Acknowledge(now, name, ack.version, ack.count)
			model[name] = ack

			version := Version(rapid.IntRange(0, 5).Draw(t, "asked"))
			count, total := tracker.CountAtLeast(now, version)
			wantCount, wantTotal := countInModel(model, now, version)
			if count != wantCount || total != wantTotal {
				t.Fatalf("%d of %d acknowledged %d, want %d of %d", count, total, version, wantCount, wantTotal)
			}
			checkSummary(t, tracker, now)
		}
	})
}

// countInModel returns what CountAtLeast should return.
func countInModel(model map[string]modelAck, now time.Duration, version Version) (count, total int) {
	for _, last := range model {
		if now-last.lastSeen > ackExpiry {
			continue
		}
		total += last.count
		if last.version >= version {
			count += last.count
		}
	}
	return count, total
}

// checkSummary checks that a summary is in order and agrees with CountAtLeast.
func checkSummary(t *rapid.T, tracker *AckTracker, now time.Duration) {
	summary := tracker.Summary(now)
	if summary.Subscribers > 0 && (summary.Cumulative[0] != VersionCount{summary.Lowest, summary.Subscribers}) {
		t.Fatalf("%+v", summary)
	}
	for i, entry := range summary.Cumulative {
		if count, _ := tracker.CountAtLeast(now, entry.Version); count != entry.Count {
			t.Fatalf("%+v, but %d acknowledged %d", summary, count, entry.Version)
		}
		if i > 0 && summary.Cumulative[i-1].Version >= entry.Version {
			t.Fatalf("%+v", summary)
		}
	}
}
