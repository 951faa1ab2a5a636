package capacity

import "testing"

// A computed quantity has the sources of both operands and the less certain one of their marks, or extrapolated if that mark
// would be measured.
func TestQuantities(t *testing.T) {
	run := Quantity{Value: 200, Unit: UnitBytes, Mark: Measured, Sources: []string{"run"}}
	assumption := Quantity{Value: 3, Unit: UnitPerSecond, Mark: ByAssumption, Sources: []string{"guess"}}
	product := run.Times(assumption, UnitBytesPerSecond)
	if product.Value != 600 || product.Mark != ByAssumption || product.From() != "run, guess" {
		t.Errorf("product: %+v, want 600, assumed, from both", product)
	}
	if sum := product.Plus(product); sum.Value != 1200 || sum.From() != "run, guess" {
		t.Errorf("sum: %+v, want 1200 from both", sum)
	}
	if part := run.Over(count(2), UnitBytes); part.Value != 100 || part.Mark != Extrapolated {
		t.Errorf("quotient: %+v, want 100, extrapolated and not measured", part)
	}
}

// Adding quantities of different units panics.
func TestSumOfDifferentUnitsPanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("bytes per second were added to bytes without a panic")
		}
	}()
	given(1, UnitBytes).Plus(given(1, UnitBytesPerSecond))
}

// A quantity is written in a unit that suits its size, with three significant figures.
func TestQuantityText(t *testing.T) {
	for _, test := range []struct {
		value float64
		unit  Unit
		want  string
	}{
		{2_970_000, UnitBytes, "2.97 MB"},
		{6000, UnitBytesPerSecond, "6 KB/s"},
		{51.234, UnitBytesPerSecond, "51.2 B/s"},
		{0.0001634, UnitSeconds, "163 µs"},
		{495.4, UnitSeconds, "495 s"},
		{0.014, UnitCores, "1.4% of a core"},
		{1235.3, UnitCount, "1,235"},
		{2e-6, UnitPerSecond, "0.173 a day"},
		{0.37037, UnitPerSecond, "0.37/s"},
		{32000, UnitPerDay, "32,000 a day"},
		{0, UnitBytes, "0 B"},
		{-0.002, UnitSeconds, "-2 ms"},
	} {
		quantity := Quantity{Value: test.value, Unit: test.unit}
		if got := quantity.String(); got != test.want {
			t.Errorf("%v %s: %q, want %q", test.value, test.unit, got, test.want)
		}
	}
}
