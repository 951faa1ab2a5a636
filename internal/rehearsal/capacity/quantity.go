package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// This file owns quantities: a value with its unit, how it is known and from
// what. Sums of different units are faults of this program.

// Mark says how a figure is known. A later one is weaker.
type Mark int

// The marks.
const (
	Given        Mark = iota // by the target
	Measured                 // by a run at the size that it is told for
	Extrapolated             // reckoned from runs and the target
	ByAssumption             // reckoned from an assumption, or one itself
)

var markNames = [...]string{"given", "measured", "extrapolated", "assumed"}

func (m Mark) String() string { return markNames[m] }

// ParseMark reads a mark.
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

// Quantity is a figure of the page.
type Quantity struct {
	Value   float64
	Unit    Unit
	Mark    Mark
	Sources []string // runs and assumptions behind it, without repeats
}

// reckoned is the mark and the sources of what is reckoned from both.
func (q Quantity) reckoned(o Quantity) (Mark, []string) {
	mark := max(q.Mark, o.Mark)
	if mark == Measured {
		mark = Extrapolated
	}
	sources := slices.Clone(q.Sources)
	for _, s := range o.Sources {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	return mark, sources
}

// Times is a product, in a unit that the caller knows.
func (q Quantity) Times(o Quantity, unit Unit) Quantity {
	mark, sources := q.reckoned(o)
	return Quantity{q.Value * o.Value, unit, mark, sources}
}

// Over is a quotient, in a unit that the caller knows.
func (q Quantity) Over(o Quantity, unit Unit) Quantity {
	mark, sources := q.reckoned(o)
	return Quantity{q.Value / o.Value, unit, mark, sources}
}

// Plus is a sum of one unit.
func (q Quantity) Plus(o Quantity) Quantity {
	if q.Unit != o.Unit {
		panic(fmt.Sprintf("capacity: %s added to %s", o.Unit, q.Unit))
	}
	mark, sources := q.reckoned(o)
	return Quantity{q.Value + o.Value, q.Unit, mark, sources}
}

// count is a number that follows from the target or from arithmetic alone.
func count(n float64) Quantity { return Quantity{Value: n, Unit: UnitCount} }

// given is a figure of the target in a unit.
func given(value float64, unit Unit) Quantity { return Quantity{Value: value, Unit: unit} }

// significant rounds to three figures.
func significant(x float64) string {
	const figures = 3
	if x == 0 {
		return "0"
	}
	if math.Abs(x) < leastDecimal {
		return fmt.Sprintf("%.*g", figures, x)
	}
	digits := figures - 1 - int(math.Floor(math.Log10(math.Abs(x))))
	scale := math.Pow(10, float64(digits))
	text := fmt.Sprintf("%.*f", max(digits, 0), math.Round(x*scale)/scale)
	if digits > 0 {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return thousands(text)
}

// thousands sets commas into the whole part of a number.
func thousands(text string) string {
	whole, rest, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		whole += "." + rest
	}
	return sign + whole
}

// prefix is a unit of a larger or smaller size.
type prefix struct {
	from   float64 // the least amount that is told in it
	factor float64
	name   string
}

var (
	bytePrefixes   = []prefix{{1e9, 1e-9, "GB"}, {1e6, 1e-6, "MB"}, {1e3, 1e-3, "KB"}, {0, 1, "B"}}
	secondPrefixes = []prefix{{1, 1, "s"}, {1e-3, 1e3, "ms"}, {0, 1e6, "µs"}}
)

func told(x float64, prefixes []prefix) string {
	for _, p := range prefixes {
		if math.Abs(x) >= p.from {
			return significant(x*p.factor) + " " + p.name
		}
	}
	return significant(x)
}

const (
	leastDecimal   = 1e-4 // smaller amounts are told with an exponent
	leastPerSecond = 1e-3 // rates below it are told for a day
	leastWhole     = 100  // counts from here on are told to the last one
)

// exact tells a number with all its figures.
func exact(x float64) string { return thousands(strconv.FormatFloat(x, 'f', -1, 64)) }

// String tells the value in a unit that fits it.
func (q Quantity) String() string {
	switch q.Unit {
	case UnitBytes:
		return told(q.Value, bytePrefixes)
	case UnitBytesPerSecond:
		return told(q.Value, bytePrefixes) + "/s"
	case UnitSeconds:
		return told(q.Value, secondPrefixes)
	case UnitCores:
		return significant(q.Value*100) + "% of a core"
	case UnitPerSecond:
		if q.Value > 0 && q.Value < leastPerSecond {
			return significant(q.Value*secondsPerDay) + " a day"
		}
		return significant(q.Value) + "/s"
	case UnitPerDay:
		return significant(q.Value) + " a day"
	}
	if q.Value >= leastWhole {
		return exact(math.Round(q.Value))
	}
	return significant(q.Value)
}

// From tells the sources.
func (q Quantity) From() string {
	if len(q.Sources) == 0 {
		return "target"
	}
	return strings.Join(q.Sources, ", ")
}
