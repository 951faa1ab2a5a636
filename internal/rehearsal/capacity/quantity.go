package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Mark says how a figure is known. The weaker marks are the larger ones.
type Mark int

// The marks.
const (
	Given        Mark = iota // by the target
	Measured                 // by a run at the same size
	Extrapolated             // computed from runs and the target
	ByAssumption             // computed from an assumption, or an assumption
)

var markNames = [...]string{"given", "measured", "extrapolated", "assumed"}

// String returns the mark as it stands in files and on the page.
func (m Mark) String() string { return markNames[m] }

// ParseMark returns the mark of a text.
func ParseMark(text string) (Mark, error) {
	i := slices.Index(markNames[:], text)
	if i < 0 {
		return 0, fmt.Errorf("mark: unknown value %q", text)
	}
	return Mark(i), nil
}

// Further units, beside those of series.
const (
	UnitPerSecond Unit = "/s"
	UnitPerDay    Unit = "/day"
)

// Quantity is a figure of the page: a value, its unit, how it is known and from what.
type Quantity struct {
	Value   float64
	Unit    Unit
	Mark    Mark
	Sources []string // runs and assumptions behind it, without duplicates
}

// combined returns the mark and the sources of a figure that is computed from both.
func (q Quantity) combined(other Quantity) (Mark, []string) {
	mark := max(q.Mark, other.Mark)
	if mark == Measured {
		mark = Extrapolated
	}
	sources := slices.Clone(q.Sources)
	for _, source := range other.Sources {
		if !slices.Contains(sources, source) {
			sources = append(sources, source)
		}
	}
	return mark, sources
}

// Times returns a product, in a unit that the caller gives.
func (q Quantity) Times(other Quantity, unit Unit) Quantity {
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value * other.Value, Unit: unit, Mark: mark, Sources: sources}
}

// Over returns a quotient, in a unit that the caller gives.
func (q Quantity) Over(other Quantity, unit Unit) Quantity {
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value / other.Value, Unit: unit, Mark: mark, Sources: sources}
}

// Plus returns a sum. It panics if the units differ.
func (q Quantity) Plus(other Quantity) Quantity {
	if q.Unit != other.Unit {
		panic(fmt.Sprintf("capacity: %s added to %s", other.Unit, q.Unit))
	}
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value + other.Value, Unit: q.Unit, Mark: mark, Sources: sources}
}

// count returns a number that follows from the target or from arithmetic alone.
func count(value float64) Quantity { return Quantity{Value: value, Unit: UnitCount} }

// given returns a figure of the target in a unit.
func given(value float64, unit Unit) Quantity { return Quantity{Value: value, Unit: unit} }

// significant rounds to three significant figures.
func significant(value float64) string {
	const figures = 3
	if value == 0 {
		return "0"
	}
	if math.Abs(value) < minDecimal {
		return fmt.Sprintf("%.*g", figures, value)
	}
	digits := figures - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	scale := math.Pow(10, float64(digits))
	text := fmt.Sprintf("%.*f", max(digits, 0), math.Round(value*scale)/scale)
	if digits > 0 {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return thousands(text)
}

// thousands inserts commas into the integer part of a number.
func thousands(text string) string {
	whole, rest, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign = "-"
		whole = whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		whole += "." + rest
	}
	return sign + whole
}

// unitPrefix is a unit with a decimal prefix.
type unitPrefix struct {
	min    float64 // smallest amount that is written in it
	factor float64
	name   string
}

var (
	bytePrefixes   = []unitPrefix{{1e9, 1e-9, "GB"}, {1e6, 1e-6, "MB"}, {1e3, 1e-3, "KB"}, {0, 1, "B"}}
	secondPrefixes = []unitPrefix{{1, 1, "s"}, {1e-3, 1e3, "ms"}, {0, 1e6, "µs"}}
)

// withPrefix writes a value in the largest unit that fits it.
func withPrefix(value float64, prefixes []unitPrefix) string {
	for _, prefix := range prefixes {
		if math.Abs(value) >= prefix.min {
			return significant(value*prefix.factor) + " " + prefix.name
		}
	}
	return significant(value)
}

const (
	minDecimal   = 1e-4 // smaller amounts are written with an exponent
	minPerSecond = 1e-3 // rates below it are written per day
	minWhole     = 100  // counts from here on are written exactly
)

// exact writes a number with all its digits.
func exact(value float64) string { return thousands(strconv.FormatFloat(value, 'f', -1, 64)) }

// String returns the value in a unit that fits it.
func (q Quantity) String() string {
	switch q.Unit {
	case UnitBytes:
		return withPrefix(q.Value, bytePrefixes)
	case UnitBytesPerSecond:
		return withPrefix(q.Value, bytePrefixes) + "/s"
	case UnitSeconds:
		return withPrefix(q.Value, secondPrefixes)
	case UnitCores:
		return significant(q.Value*100) + "% of a core"
	case UnitPerSecond:
		if q.Value > 0 && q.Value < minPerSecond {
			return significant(q.Value*secondsPerDay) + " a day"
		}
		return significant(q.Value) + "/s"
	case UnitPerDay:
		return significant(q.Value) + " a day"
	}
	if q.Value >= minWhole {
		return exact(math.Round(q.Value))
	}
	return significant(q.Value)
}

// From returns the sources as text.
func (q Quantity) From() string {
	if len(q.Sources) == 0 {
		return "target"
	}
	return strings.Join(q.Sources, ", ")
}
