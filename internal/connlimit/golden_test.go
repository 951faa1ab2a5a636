package connlimit

import (
	"slices"
	"strings"
	"testing"
)

// The names of reasons, levels of trust, stages and kinds of descriptors do not change:
// they are keys in the admin API's JSON.
func TestNamesInJSON(t *testing.T) {
	var names []string
	for reason := range NumReasons {
		names = append(names, reason.String())
	}
	for trust := Unknown; trust <= TrustedProxy; trust++ {
		names = append(names, trust.String())
	}
	for stage := range numStages {
		names = append(names, stage.String())
	}
	for kind := range DescriptorKinds {
		names = append(names, kind.String())
	}
	want := strings.Fields("fine barred address_open address_opening address_rate address_half address_bytes " +
		"prefix_open prefix_opening prefix_rate prefix_half prefix_bytes fair_share full full_known total_rate descriptors " +
		"bad_proxy_header too_slow answers_not_read too_greedy unknown learned known front " +
		"asking silent proven half_read busy sessions backends discovery door stores")
	if !slices.Equal(names, want) {
		t.Errorf("%q,\n   want %q", names, want)
	}
}
