package listener

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// The rate of log lines is limited for each reason separately.
func TestLogRejectionRate(t *testing.T) {
	var out bytes.Buffer
	gate := NewUnlimited(eventloop.New())
	gate.logger = slog.New(slog.NewTextHandler(&out, nil))
	addr := netip.MustParseAddr("10.0.0.1")
	for range 500 {
		gate.LogRejection(connlimit.AddressOpen, addr)
		gate.LogRejection(connlimit.SlowRequest, addr)
	}
	lines := strings.Count(out.String(), "\n")
	if lines != 2 {
		t.Errorf("%d lines for two reasons, want 2", lines)
	}
}
