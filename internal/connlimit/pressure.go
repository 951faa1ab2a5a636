package connlimit

// Levels of pressure, by how much of the descriptors is in use. Each includes what
// those below it do.
const (
	PressureNone     = iota
	PressureLow      // idle connections of unknown addresses are evicted
	PressureHigh     // new connections of unknown addresses are rejected
	PressureCritical // idle connections to workers are closed
)
