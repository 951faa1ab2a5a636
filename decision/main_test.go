package decision

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of all property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	flags := map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true", "rapid.checks": "300"}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
