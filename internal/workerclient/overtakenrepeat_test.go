package workerclient

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a deduplicated request that runs twice: a first attempt which was held up had no time by which it must
// leave, though a later one had left before it and workers had forgotten that one.
func TestAttemptThatWasOvertakenLeavesWithinTheWindowOfTheOther(t *testing.T) {
	const window = 600 * time.Millisecond
	const heldUp = 2 * time.Second
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
	holdLastBytes(rig, client, heldUp)
	responses := post(rig, transfer, "id000001")
	first := worker.Accept()
	first.AwaitFirstByte()
	rig.Do(func() { client.holdLastByteUntil = 0 })
	hedge := worker.Accept()
	hedge.ParseRequest()
	hedge.Write(runMayHaveHappened)
	text, err := first.ReadRest()
	if err != nil || len(text) == 0 || text[len(text)-len("body"):] == "body" {
		t.Errorf("the first attempt is %q, %v; want all but the last byte", text, err)
	}
	checkNotServed(t, "forgotten by its worker", responses)
}
