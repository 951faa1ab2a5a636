package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ackExpiry = 90 * time.Second

func TestAcksSummary(t *testing.T) {
	a := NewAcks(ackExpiry)
	a.Heard(0, "d1", 5, 1)
	a.Heard(0, "d2", 7, 1)
	a.Heard(0, "relay", 6, 1235)
	want := Summary{Subscribers: 1237, Lowest: 5, Newest: 7, AtLeast: []VersionCount{{5, 1237}, {6, 1236}, {7, 1}}}
	if got := a.Summary(0); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	if have, of := a.InForce(0, 6); have != 1236 || of != 1237 {
		t.Errorf("%d of %d", have, of)
	}
	if got := NewAcks(ackExpiry).Summary(0); !reflect.DeepEqual(got, Summary{}) {
		t.Errorf("of nobody: %+v", got)
	}
}

func TestAcksExpire(t *testing.T) {
	a := NewAcks(ackExpiry)
	a.Heard(0, "silent", 5, 1)
	a.Heard(0, "speaking", 5, 1)
	a.Heard(time.Second, "speaking", 7, 1)
	if got := a.Summary(ackExpiry); got.Subscribers != 2 || got.Lowest != 5 {
		t.Errorf("%+v", got)
	}
	if got := a.Summary(ackExpiry + 1); got.Subscribers != 1 || got.Lowest != 7 {
		t.Errorf("%+v", got)
	}
	if have, of := a.InForce(ackExpiry+time.Second+1, 0); have != 0 || of != 0 || len(a.byName) != 0 {
		t.Errorf("%d of %d, %d kept", have, of, len(a.byName))
	}
}

func TestAcksRestartedOneCountsAsItsPresentVersion(t *testing.T) {
	a := NewAcks(ackExpiry)
	a.Heard(0, "d1", 9, 1)
	a.Heard(1, "d1", 4, 1)
	if have, of := a.InForce(1, 9); have != 0 || of != 1 {
		t.Errorf("%d of %d", have, of)
	}
}

func TestAcksRelayWithoutAFleetSpeaksForNobody(t *testing.T) {
	a := NewAcks(ackExpiry)
	a.Heard(0, "relay", 9, 3)
	a.Heard(0, "other", 9, 0)
	a.Heard(1, "relay", 9, 0)
	if got := a.Summary(1); got.Subscribers != 0 || len(a.byName) != 0 {
		t.Errorf("%+v", got)
	}
}

// heardModel is what was heard last of one subscriber.
type heardModel struct {
	version Version
	count   int
	at      time.Duration
}

// The counts are those of a plain list of what each subscriber said last.
func TestAcksCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, model := NewAcks(ackExpiry), map[string]heardModel{}
		var now time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			name := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(t, "name"))
			heard := heardModel{Version(rapid.IntRange(0, 5).Draw(t, "version")), rapid.IntRange(0, 3).Draw(t, "count"), now}
			a.Heard(now, name, heard.version, heard.count)
			model[name] = heard

			v := Version(rapid.IntRange(0, 5).Draw(t, "asked"))
			have, of := a.InForce(now, v)
			wantHave, wantOf := 0, 0
			for _, heard := range model {
				if now-heard.at > ackExpiry {
					continue
				}
				wantOf += heard.count
				if heard.version >= v {
					wantHave += heard.count
				}
			}
			if have != wantHave || of != wantOf {
				t.Fatalf("%d of %d have %d, want %d of %d", have, of, v, wantHave, wantOf)
			}
			checkSummary(t, a, now)
		}
	})
}

// checkSummary compares a summary with the counts by version.
func checkSummary(t *rapid.T, a *Acks, now time.Duration) {
	summary := a.Summary(now)
	if summary.Subscribers > 0 && (summary.AtLeast[0] != VersionCount{summary.Lowest, summary.Subscribers}) {
		t.Fatalf("%+v", summary)
	}
	for i, c := range summary.AtLeast {
		if have, _ := a.InForce(now, c.Version); have != c.Count {
			t.Fatalf("%+v, but %d have %d", summary, have, c.Version)
		}
		if i > 0 && summary.AtLeast[i-1].Version >= c.Version {
			t.Fatalf("%+v", summary)
		}
	}
}
