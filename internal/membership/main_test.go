package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed and more checks. Flags of the
// command line take precedence.
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
