package connlimit

// Pressure is the level of scarcity of descriptors, according to how many of them are
// in use.
type Pressure int

// The levels of pressure. The measures of a level also apply at all higher levels.
const (
	PressureNone     Pressure = iota
	PressureLow               // idle connections of unknown addresses are evicted
	PressureHigh              // new connections of unknown addresses are rejected
	PressureCritical          // idle connections to workers are closed
)
