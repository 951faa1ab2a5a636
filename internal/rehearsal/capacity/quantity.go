package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Mark says how a figure is known. A larger mark stands for a less certain figure.
type Mark int

// The marks.
const (
	Given        Mark = iota // given by the target
	Measured                 // measured by a run at the same size
	Extrapolated             // computed from runs and the target
	ByAssumption             // an assumption, or computed from one
)

var markNames = [...]string{"given", "measured", "extrapolated", "assumed"}

// String returns the name of the mark in files and on the page.
func (m Mark) String() string { return markNames[m] }

// ParseMark returns the mark with a name.
func ParseMark(text string) (Mark, error) {
	i := slices.Index(markNames[:], text)
	if i < 0 {
		return 0, fmt.Errorf("mark: unknown value %q", text)
	}
	return Mark(i), nil
}

// The units of rates, which no series has.
const (
	UnitPerSecond Unit = "/s"
	UnitPerDay    Unit = "/day"
)

// Quantity is a figure of the page: a value, its unit, how it is known and from what.
type Quantity struct {
	Value   float64
	Unit    Unit
	Mark    Mark
	Sources []string // the runs and assumptions from which it is computed, without duplicates
}

// combined returns the mark and the sources of a figure that is computed from two quantities. The mark is that of the less
// certain quantity, but Extrapolated instead of Measured, since the result itself is not measured.
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

// Times returns the product of two quantities. The caller gives its unit.
func (q Quantity) Times(other Quantity, unit Unit) Quantity {
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value * other.Value, Unit: unit, Mark: mark, Sources: sources}
}

// Over returns the quotient of two quantities. The caller gives its unit.
func (q Quantity) Over(other Quantity, unit Unit) Quantity {
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value / other.Value, Unit: unit, Mark: mark, Sources: sources}
}

// Plus returns the sum of two quantities. It panics if their units differ.
func (q Quantity) Plus(other Quantity) Quantity {
	if q.Unit != other.Unit {
		panic(fmt.Sprintf("capacity: %s added to %s", other.Unit, q.Unit))
	}
	mark, sources := q.combined(other)
	return Quantity{Value: q.Value + other.Value, Unit: q.Unit, Mark: mark, Sources: sources}
}

// count returns a number without a unit that follows from the target or from arithmetic alone. Its mark is Given.
func count(value float64) Quantity { return Quantity{Value: value, Unit: UnitCount} }

// given returns a figure that the target gives, or a constant, with its unit.
func given(value float64, unit Unit) Quantity { return Quantity{Value: value, Unit: unit} }

// formatSignificant returns a value as text with three significant figures.
func formatSignificant(value float64) string {
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
	return insertCommas(text)
}

// insertCommas inserts commas into the integer part of a number.
func insertCommas(text string) string {
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

// unitPrefix is a unit with a decimal prefix, such as KB.
type unitPrefix struct {
	min    float64 // smallest absolute value that is written in this unit
	factor float64 // from the base unit to this one
	name   string
}

var (
	bytePrefixes   = []unitPrefix{{1e9, 1e-9, "GB"}, {1e6, 1e-6, "MB"}, {1e3, 1e-3, "KB"}, {0, 1, "B"}}
	secondPrefixes = []unitPrefix{{1, 1, "s"}, {1e-3, 1e3, "ms"}, {0, 1e6, "µs"}}
)

// formatWithPrefix returns a value as text. It uses the first of the prefixes whose minimum the value reaches; they must be
// in descending order.
func formatWithPrefix(value float64, prefixes []unitPrefix) string {
	for _, prefix := range prefixes {
		if math.Abs(value) >= prefix.min {
			return formatSignificant(value*prefix.factor) + " " + prefix.name
		}
	}
	return formatSignificant(value)
}

const (
	minDecimal   = 1e-4 // smaller values are written with an exponent
	minPerSecond = 1e-3 // smaller rates are written per day
	minWhole     = 100  // counts that are at least this large are written with all digits
)

// formatExact returns a number as text with all its digits.
func formatExact(value float64) string { return insertCommas(strconv.FormatFloat(value, 'f', -1, 64)) }

// String returns the value as text, in a unit that suits its size.
func (q Quantity) String() string {
	switch q.Unit {
	case UnitBytes:
		return formatWithPrefix(q.Value, bytePrefixes)
	case UnitBytesPerSecond:
		return formatWithPrefix(q.Value, bytePrefixes) + "/s"
	case UnitSeconds:
		return formatWithPrefix(q.Value, secondPrefixes)
	case UnitCores:
		return formatSignificant(q.Value*100) + "% of a core"
	case UnitPerSecond:
		if q.Value > 0 && q.Value < minPerSecond {
			return formatSignificant(q.Value*secondsPerDay) + " a day"
		}
		return formatSignificant(q.Value) + "/s"
	case UnitPerDay:
		return formatSignificant(q.Value) + " a day"
	}
	if q.Value >= minWhole {
		return formatExact(math.Round(q.Value))
	}
	return formatSignificant(q.Value)
}

// From returns the sources as text, or "target" if there are none.
func (q Quantity) From() string {
	if len(q.Sources) == 0 {
		return "target"
	}
	return strings.Join(q.Sources, ", ")
}
