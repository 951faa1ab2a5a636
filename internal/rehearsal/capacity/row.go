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
	ListedWorker   Role = "worker, as a dispatcher sees it"
	Origin         Role = "discovery"
	ControlMachine Role = "control machine"
	Writer         Role = "writer of configuration"
)

// Row compares one need of one role with the limit that the target or an assumption sets.
type Row struct {
	Role      Role
	What      string // description of the need
	Need      Quantity
	Allowed   Quantity
	Mechanism string // the package that meets the need, or mechanismMissing
	Unknown   string // why there is no figure; empty if there is one
}

// row returns a row for a need of the role that has a figure.
func (r Role) row(what string, need, allowed Quantity, mechanism string) Row {
	return Row{Role: r, What: what, Need: need, Allowed: allowed, Mechanism: mechanism}
}

// Headroom returns the limit divided by the need, or 0 if the mechanism is missing or the need is unknown.
func (r Row) Headroom() float64 {
	if r.Unknown != "" || r.Mechanism == mechanismMissing {
		return 0
	}
	return r.Allowed.Value / r.Need.Value
}

// HeadroomText returns the headroom as text, or why there is none.
func (r Row) HeadroomText() string {
	switch {
	case r.Mechanism == mechanismMissing:
		return "missing"
	case r.Unknown != "":
		return "not measured"
	}
	return formatHeadroom(r.Headroom())
}

// NeedText returns the need as text, or why it is unknown.
func (r Row) NeedText() string {
	if r.Unknown != "" {
		return r.Unknown
	}
	return r.Need.String()
}

// MarkText returns the less certain mark of need and limit, or "" if the need is unknown.
func (r Row) MarkText() string {
	if r.Unknown != "" {
		return ""
	}
	mark, _ := r.Need.combined(r.Allowed)
	if mark == Extrapolated { // a measured need with a given limit still counts as measured
		mark = r.Need.Mark
	}
	return mark.String()
}

// FromText returns the sources of need and limit, or "" if the need is unknown.
func (r Row) FromText() string {
	if r.Unknown != "" {
		return ""
	}
	_, sources := r.Need.combined(r.Allowed)
	return Quantity{Sources: sources}.From()
}

// sortRows sorts rows by headroom in ascending order. Rows whose mechanism is missing come first, and those that were not
// measured come last.
func sortRows(rows []Row) {
	key := func(r Row) float64 {
		if r.Unknown != "" && r.Mechanism != mechanismMissing {
			return math.Inf(1)
		}
		return r.Headroom()
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(key(a), key(b)) })
}

// formatHeadroom returns a headroom as text, rounded to a whole number from 100 on and to three significant figures below.
func formatHeadroom(headroom float64) string {
	if headroom >= 100 {
		return insertCommas(fmt.Sprintf("%.0f", math.Round(headroom)))
	}
	return formatSignificant(headroom)
}
