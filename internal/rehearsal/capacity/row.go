package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Role is the kind of process or machine that has a need.
type Role string

// The roles.
const (
	Dispatcher     Role = "dispatcher"
	WorkerSeen     Role = "worker, as a dispatcher sees it"
	Origin         Role = "discovery"
	ControlMachine Role = "control machine"
	Writer         Role = "writer of configuration"
)

// Row compares one need of one role with what the target allows.
type Row struct {
	Role      Role
	What      string
	Need      Quantity
	Allowed   Quantity
	Mechanism string
	Unknown   string // why there is no figure; empty if there is one
}

// row returns a need of the role with a known figure.
func (r Role) row(what string, need, allowed Quantity, mechanism string) Row {
	return Row{Role: r, What: what, Need: need, Allowed: allowed, Mechanism: mechanism}
}

// Headroom returns what is allowed divided by what is needed; 0 where the mechanism is missing or the need unknown.
func (r Row) Headroom() float64 {
	if r.Unknown != "" || r.Mechanism == mechanismMissing {
		return 0
	}
	return r.Allowed.Value / r.Need.Value
}

// HeadroomText returns the headroom as text.
func (r Row) HeadroomText() string {
	switch {
	case r.Mechanism == mechanismMissing:
		return "missing"
	case r.Unknown != "":
		return "not measured"
	}
	return headroomText(r.Headroom())
}

// NeedText returns the need, or why it is not known.
func (r Row) NeedText() string {
	if r.Unknown != "" {
		return r.Unknown
	}
	return r.Need.String()
}

// MarkText returns how need and limit are known.
func (r Row) MarkText() string {
	if r.Unknown != "" {
		return ""
	}
	mark, _ := r.Need.combined(r.Allowed)
	if mark == Extrapolated { // a quotient of a measured figure and a given limit
		mark = r.Need.Mark
	}
	return mark.String()
}

// FromText returns the sources of need and limit.
func (r Row) FromText() string {
	if r.Unknown != "" {
		return ""
	}
	_, sources := r.Need.combined(r.Allowed)
	return Quantity{Sources: sources}.From()
}

// sortRows sorts by headroom: missing mechanisms first, what was not measured last.
func sortRows(rows []Row) {
	key := func(r Row) float64 {
		if r.Unknown != "" && r.Mechanism != mechanismMissing {
			return math.Inf(1)
		}
		return r.Headroom()
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(key(a), key(b)) })
}

// headroomText rounds a headroom.
func headroomText(headroom float64) string {
	if headroom >= 100 {
		return thousands(fmt.Sprintf("%.0f", math.Round(headroom)))
	}
	return significant(headroom)
}
