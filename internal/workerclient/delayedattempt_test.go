package workerclient

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a deduplicated request that runs twice. The first attempt is delayed and a later attempt is sent
// before it. Without a time limit for being sent, the first attempt could be sent after the dedup window of the later
// one, when workers no longer recognize it as a duplicate.
func TestDelayedAttemptIsNotSentAfterDedupWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	const lastByteDelay = 2 * time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond), func(settings *decision.Settings) {
		settings.Hedging = true
	})
	worker := testkit.Listen(t)
	var client *Client
	rig.Do(func() {
		client = newWorkerClient(t, rig,
			listedWorker{Name: soleWorker, Address: worker.Addr(), Health: "ready"},
			listedWorker{Name: "other", Address: worker.Addr(), Health: "ready"},
		)
	})
	holdLastBytes(rig, client, lastByteDelay)
	responses := post(rig, transferClass, "id000001")
	first := worker.Accept()
	first.AwaitFirstByte()
	rig.Do(func() { client.holdLastByteUntil = 0 })
	hedge := worker.Accept()
	hedge.ParseRequest()
	hedge.Write(internalErrorResponse)
	text, err := first.ReadRest()
	if err != nil || len(text) == 0 || text[len(text)-len("body"):] == "body" {
		t.Errorf("the first attempt is %q, %v; want all but the last byte", text, err)
	}
	checkNotServed(t, "after the dedup window", responses)
}
