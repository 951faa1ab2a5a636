package replay

import (
	"math"
	"testing"
	"time"
)

func TestKolmogorovSmirnov(t *testing.T) {
	for _, test := range []struct {
		first, second []int64
		want          float64
	}{
		{[]int64{1, 2, 3, 4}, []int64{1, 2, 3, 4}, 0},
		{[]int64{1, 2}, []int64{3, 4}, 1},
		{[]int64{1, 1, 2, 2}, []int64{1, 2, 2, 2}, 0.25},
		{nil, nil, 0},
	} {
		if got := kolmogorovSmirnov(test.first, test.second); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%v %v: %g, want %g", test.first, test.second, got, test.want)
		}
	}
}

// If a tenth of 1000 entries in 10 s is sent half a second late, the lateness and the distances show it.
func TestFidelityShowsLateSends(t *testing.T) {
	times := newSeries()
	for i := range 1000 {
		due := time.Duration(i) * 10 * time.Millisecond
		lateness := time.Duration(0)
		if i%10 == 0 {
			lateness = 500 * time.Millisecond
		}
		times.add(due, due+lateness)
	}
	got := times.fidelity()
	if got.LatenessMax < 499_000 || got.LatenessP50 > 10 {
		t.Errorf("lateness of at most %d us, want 499000 or more; median %d us, want 10 or less", got.LatenessMax, got.LatenessP50)
	}
	if got.KS < 0.004 || got.MaxSecondError < 0.04 {
		t.Errorf("distance %g, want 0.004 or more; largest error of a second %g, want 0.04 or more", got.KS, got.MaxSecondError)
	}
}
