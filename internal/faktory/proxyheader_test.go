package faktory

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a rejection that an operator cannot find: a connection with an invalid PROXY header is rejected without
// being counted, or is logged with an invalid address.
func TestBadProxyHeaderIsCountedAndLogged(t *testing.T) {
	settings := testSettings()
	if err := AddWorkerKinds(&settings); err != nil {
		t.Fatal(err)
	}
	rig := testkit.NewRig(t, func(rigSettings *decision.Settings) { *rigSettings = settings })
	var log bytes.Buffer // only written on the event loop
	var gate *listener.Gate
	var address string
	rig.Do(func() {
		limits := connlimit.Config{Capacity: 100, TrustedProxies: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}
		var err error
		gate, err = listener.New(rig.Dispatcher.Loop, rig.Engine, listener.Config{Limits: limits}, 200, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Error(err)
			return
		}
		server := NewServer(rig.Dispatcher, rig.Engine, "", newJidMemory())
		server.SetGate(gate)
		address, err = server.Listen("127.0.0.1:0", 100)
		if err != nil {
			t.Error(err)
		}
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "HELLO {}\r\n")
	if text, _ := io.ReadAll(conn); len(text) > 0 { // the connection may also be reset
		t.Errorf("answered %q, want no answer", text)
	}
	rig.Do(func() {
		rejections := gate.Limiter.Snapshot(rig.Dispatcher.Loop.Now()).Rejections
		if rejections[connlimit.BadHeader.String()] != 1 {
			t.Errorf("counted %v, want one bad header", rejections)
		}
		if !strings.Contains(log.String(), "address=127.0.0.1") {
			t.Errorf("logged %q, want the address of the proxy", log.String())
		}
	})
}
