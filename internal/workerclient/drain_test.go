package workerclient

import (
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// heldRenewal is a renewal whose worker begins to drain, with a grace of 500 ms, while the last byte is held back.
type heldRenewal struct {
	conn      *testkit.AcceptedConn // at the worker, which has the first byte
	responses testkit.Responses
}

func startHeldRenewal(t *testing.T, held time.Duration) heldRenewal {
	t.Helper()
	rig := testkit.NewRig(t, func(settings *decision.Settings) { settings.DrainGrace = 500 * time.Millisecond })
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), reuseAtOnce)
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

// Guards against a grace that keeps requests from workers which may still have them.
func TestRequestWithinDrainGraceIsSent(t *testing.T) {
	renewal := startHeldRenewal(t, 100*time.Millisecond)
	renewal.conn.ServeRequest()
	checkOutcome(t, "sent within the grace", renewal.responses, dispatch.Served)
}

// Guards against a request that comes to a draining worker beyond the grace: a last byte that was due 0.3 s after it left
// all the same when the grace was taken as 0.45 s longer, and no test failed.
func TestRequestBeyondDrainGraceIsNotSent(t *testing.T) {
	renewal := startHeldRenewal(t, 800*time.Millisecond)
	text, err := renewal.conn.ReadRest()
	if err != nil || !strings.HasSuffix(text, "\r\n\r\nbod") {
		t.Errorf("the worker has %q, %v; want all but the last byte", text, err)
	}
	checkNotServed(t, "held beyond the grace", renewal.responses)
}
