package capacity

import "testing"

// The mean numbers of messages of all roles equal those computed by hand.
func TestLoads(t *testing.T) {
	basis := testBasis()
	loads, err := basis.Loads()
	if err != nil {
		t.Fatal(err)
	}
	const meanMessages = membershipRate + 1 // one change of configuration per second
	want := map[string]float64{
		"each; it watches list and configuration":                meanMessages,
		"300 dispatchers watch it":                               300 * meanMessages,
		"3,000 dispatchers watch it":                             3000 * meanMessages,
		"21,000 dispatchers watch it":                            21000 * meanMessages,
		"the control machines watch it, as relays":               17 * meanMessages,
		"each; its part of 21,000 dispatchers, one machine down": 21000 / 16.0 * meanMessages,
		"each; its changes of state":                             membershipRate / 21000,
		"all together":                                           1,
	}
	for _, load := range loads {
		messages, expected := want[load.With]
		if !expected {
			continue
		}
		delete(want, load.With)
		if !near(load.Messages.Mean.Value, messages) {
			t.Errorf("%s, %s: %v messages a second, want %v", load.Role, load.With, load.Messages.Mean.Value, messages)
		}
	}
	if len(want) > 0 {
		t.Errorf("loads that are missing: %v", want)
	}
}
