package workerclient

import (
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// heldRenewal is a renewal whose last byte is held back while its worker begins to drain, with a grace of 500 ms.
type heldRenewal struct {
	conn      *testkit.AcceptedConn // the worker's end of the connection, which has received the first byte
	responses testkit.Responses
}

func startHeldRenewal(t *testing.T, held time.Duration) heldRenewal {
	t.Helper()
	rig := testkit.NewRig(t, func(settings *decision.Settings) { settings.DrainGrace = 500 * time.Millisecond })
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	holdLastBytes(rig, client, held)
	responses := post(rig, testkit.Renewal, "id000001")
	conn := worker.Accept()
	conn.AwaitFirstByte()
	rig.Do(func() {
		leaving := client.registry.Worker(soleWorker)
		leaving.State = decision.Draining
		leaving.StateSince = rig.Dispatcher.Loop.Now()
	})
	return heldRenewal{conn: conn, responses: responses}
}

// Guards against a drain grace that is too short, so that requests are withheld that may still be sent to the worker.
func TestRequestWithinDrainGraceIsSent(t *testing.T) {
	renewal := startHeldRenewal(t, 100*time.Millisecond)
	renewal.conn.ServeRequest()
	checkOutcome(t, "sent within the grace", renewal.responses, dispatch.Served)
}

// Guards against a request that is sent to a draining worker after the grace. When the grace was taken as 0.45 s longer
// than it is, a last byte that was due 0.3 s after the end of the grace was sent, and no other test failed.
func TestRequestBeyondDrainGraceIsNotSent(t *testing.T) {
	renewal := startHeldRenewal(t, 800*time.Millisecond)
	text, err := renewal.conn.ReadRest()
	if err != nil || !strings.HasSuffix(text, "\r\n\r\nbod") {
		t.Errorf("the worker has %q, %v; want all but the last byte", text, err)
	}
	checkNotServed(t, "held beyond the grace", renewal.responses)
}
