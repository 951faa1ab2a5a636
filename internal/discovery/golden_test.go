package discovery

import (
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// What discovery is sent: the first call, which comes where discovery pushes its
// list and where it is asked for it, and the one after a version.
func TestGoldenDiscoveryRequests(t *testing.T) {
	var text strings.Builder
	for _, ask := range []bool{false, true} {
		r := testkit.NewRig(t, func(s *decision.Settings) { s.ListBySubscription, s.Peers = ask, 1 })
		addr, accept := testkit.ListenOnLoopback(t)
		r.Do(func() {
			newRegistry(r, addr).Subscribe()
		})
		h := accept()
		text.WriteString(h.ReadRequest(0))
		io.WriteString(h.Conn, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n")+"0\r\n\r\n")
		text.WriteString(accept().ReadRequest(0))
	}
	testkit.CompareGolden(t, "discoveryrequests.golden", text.String())
}

// What a server of changes is sent: the call for what is missing, the watch, and
// the acknowledgement, also of a state in which something is missing.
func TestGoldenMembershipRequests(t *testing.T) {
	r := testkit.NewRig(t)
	addr, accept := testkit.ListenOnLoopback(t)
	r.Do(func() {
		registry := newRegistry(r, "")
		registry.Follow((&testFollower{}).followConfig(0, &testServer{addr: addr}))
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
	request{Conn: watch.Conn}.sendLine(encodeChange(6, false, "a=draining", "b=asleep")) // is refused
	request{Conn: watch.Conn}.sendLine(encodeChange(7, false, "c=ready"))
	text.WriteString(call.ReadRequest(0)) // tells what is missing
	testkit.CompareGolden(t, "membershiprequests.golden", text.String())
}
