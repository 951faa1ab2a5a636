package connlimit

// Pressure is the level of scarcity of descriptors, according to how many of them are
// in use.
type Pressure int

// The levels of pressure. The measures of the lower levels also apply at the higher
// ones.
const (
	PressureNone     Pressure = iota
	PressureLow               // idle connections of unknown addresses are evicted
	PressureHigh              // new connections of unknown addresses are rejected
	PressureCritical          // idle connections to workers are closed
)
