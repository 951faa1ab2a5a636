package simulator

import (
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Keys of scenario files, and what the committed ones say with their defaults.
func TestGoldenScenarios(t *testing.T) {
	goldentest.CompareScenarios(t, "../../../deploy/scenarios/*.toml", ReadScenario,
		"unknown = 1", "length_s = 0.0", "length_s = true")
}
