package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and a higher number of checks for the property tests.
// Flags given on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	defaults := map[string]string{
		"rapid.seed":       "27",
		"rapid.nofailfile": "true",
		"rapid.checks":     "1000",
		"rapid.steps":      "60",
	}
	for name, value := range defaults {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
