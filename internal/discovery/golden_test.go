package discovery

import (
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// The requests to discovery: the first call and the call after a version is known, both to an agent and by subscription.
func TestGoldenDiscoveryRequests(t *testing.T) {
	var text strings.Builder
	for _, bySubscription := range []bool{false, true} {
		rig := testkit.NewRig(t, func(s *decision.Settings) {
			s.ListBySubscription = bySubscription
			s.Peers = 1
		})
		addr, accept := testkit.ListenOnLoopback(t)
		rig.Do(func() {
			newRegistry(rig, addr).Subscribe()
		})
		call := accept()
		text.WriteString(call.ReadRequest(0))
		io.WriteString(call.Conn, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n")+"0\r\n\r\n")
		text.WriteString(accept().ReadRequest(0))
	}
	goldentest.CompareHTTP(t, "discoveryrequests.golden", text.String())
}

// The requests to a membership server: the poll that catches up, the watch, and acknowledgements of a complete state and
// of one in which a change is missing.
func TestGoldenMembershipRequests(t *testing.T) {
	rig := testkit.NewRig(t)
	addr, accept := testkit.ListenOnLoopback(t)
	rig.Do(func() {
		registry := newRegistry(rig, "")
		registry.Follow(followConfig(&testServer{zone: localZone, addr: addr}))
		if err := registry.LoadInitial([]byte(`{"hosts":[]}`)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	call := accept()
	text.WriteString(call.ReadRequest(0))
	request{Conn: call.Conn}.answer(encodeChange(5, true, "a=ready"))
	watch := accept()
	text.WriteString(watch.ReadRequest(0))
	request{Conn: watch.Conn}.openWatch()
	text.WriteString(call.ReadRequest(0)) // the acknowledgement
	request{Conn: call.Conn}.answer(encodeChange(5, false))
	request{Conn: watch.Conn}.sendLine(encodeChange(6, false, "a=draining", "b=asleep")) // rejected
	request{Conn: watch.Conn}.sendLine(encodeChange(7, false, "c=ready"))
	text.WriteString(call.ReadRequest(0)) // the acknowledgement of a state in which version 6 is missing
	goldentest.CompareHTTP(t, "membershiprequests.golden", text.String())
}
