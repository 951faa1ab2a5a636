package rangecheck

import (
	"math"
	"testing"
)

// Numbers within the limits, and the limits themselves, are valid.
func TestBetween(t *testing.T) {
	for value, valid := range map[float64]bool{
		0.9:          false,
		1:            true,
		2:            true,
		3:            true,
		3.1:          false,
		math.Inf(1):  false,
		math.Inf(-1): false,
	} {
		if err := Between("key", value, 1, 3); (err == nil) != valid {
			t.Errorf("%g: error %v, want valid %v", value, err, valid)
		}
	}
}

// NaN is invalid, and the error names the key and the limits.
func TestErrorNamesKeyAndLimits(t *testing.T) {
	const want = "net.jitter: NaN is not between 1 and 3"
	if err := Between("net.jitter", math.NaN(), 1, 3); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
