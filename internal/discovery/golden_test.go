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
func TestGoldenToDiscovery(t *testing.T) {
	var text strings.Builder
	for _, ask := range []bool{false, true} {
		r := testkit.NewRig(t, func(s *decision.Settings) { s.ListBySubscription, s.Peers = ask, 1 })
		addr, accept := testkit.ListenOnLoopback(t)
		r.Do(func() {
			newRegistry(r, addr).Subscribe()
		})
		h := accept()
		text.WriteString(h.ReadRequest(0))
		io.WriteString(h.Conn, testkit.WatchHead+testkit.Chunk(newWorld+"\n")+"0\r\n\r\n")
		text.WriteString(accept().ReadRequest(0))
	}
	testkit.CompareGolden(t, "todiscovery.golden", text.String())
}

// What a server of changes is sent: the call for what is missing, the watch, and
// the acknowledgement, also of a state in which something is missing.
func TestGoldenToRelay(t *testing.T) {
	r := testkit.NewRig(t)
	addr, accept := testkit.ListenOnLoopback(t)
	r.Do(func() {
		registry := newRegistry(r, "")
		registry.Follow((&subject{}).config(0, &server{addr: addr}))
		if err := registry.LoadInitial([]byte(`{"hosts":[]}`)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	call := accept()
	text.WriteString(call.ReadRequest(0))
	request{Conn: call.Conn}.answer(state(5, true, "a=ready"))
	watch := accept()
	text.WriteString(watch.ReadRequest(0))
	request{Conn: watch.Conn}.open()
	text.WriteString(call.ReadRequest(0)) // the acknowledgement
	request{Conn: call.Conn}.answer(state(5, false))
	request{Conn: watch.Conn}.tell(state(6, false, "a=draining", "b=asleep")) // is refused
	request{Conn: watch.Conn}.tell(state(7, false, "c=ready"))
	text.WriteString(call.ReadRequest(0)) // tells what is missing
	testkit.CompareGolden(t, "torelay.golden", text.String())
}
