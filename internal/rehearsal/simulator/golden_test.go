package simulator

import (
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The keys of scenario files, and the values of the committed scenarios with their defaults.
func TestGoldenScenarios(t *testing.T) {
	goldentest.CompareScenarios(t, "../../../deploy/scenarios/*.toml", ReadScenario,
		"unknown = 1", "length_s = 0.0", "length_s = true")
}
