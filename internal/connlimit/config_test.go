package connlimit

import "testing"

// A configuration with a value out of range is rejected.
func TestInvalidConfigIsRejected(t *testing.T) {
	for _, config := range []Config{
		{},
		{Capacity: 5, Reserve: 5},
		{Capacity: 5, V4Bits: 33},
		{Capacity: 5, Rate: -1},
		{Capacity: 5, Learn: LearnConfig{ReserveShare: 2}},
		{Capacity: 5, Prefix: Limits{HalfRead: -1}},
	} {
		if _, err := New(config); err == nil {
			t.Errorf("%+v is accepted", config)
		}
	}
}
