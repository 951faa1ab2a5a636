package soak

import (
	"testing"
	"time"
)

// An outage of the discovery service postpones the notification deadline of a change if the change falls in the outage, or
// the outage begins before the deadline. Other outages do not.
func TestNotificationDeadline(t *testing.T) {
	start := time.Now()
	second := func(number int) time.Time { return start.Add(time.Duration(number) * time.Second) }
	service := &discovery{outages: []interval{
		{from: second(10), to: second(20)},
		{from: second(24), to: second(30)},
	}}
	for _, test := range []struct {
		name         string
		changed      int // seconds
		wantDeadline int // seconds
	}{
		{"long before the outages", 0, 6},
		{"the first outage begins before the deadline", 5, 36},
		{"during the first outage", 12, 36},
		{"after the outages", 31, 37},
	} {
		got := service.notificationDeadline(second(test.changed))
		if !got.Equal(second(test.wantDeadline)) {
			t.Errorf("%s: the deadline of a change at %d s is %v after the start, want %d s", test.name, test.changed, got.Sub(start), test.wantDeadline)
		}
	}
}
