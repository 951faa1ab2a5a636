package connlimit

// Pressure is how scarce descriptors are, by how many of them are in use.
type Pressure int

// The levels of pressure. Each includes what those below it do.
const (
	PressureNone     Pressure = iota
	PressureLow               // idle connections of unknown addresses are evicted
	PressureHigh              // new connections of unknown addresses are rejected
	PressureCritical          // idle connections to workers are closed
)
