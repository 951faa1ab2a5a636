package workerclient

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Checks that the limit of idle connections to a worker is divided among all dispatchers: the more dispatchers there
// are, the fewer idle connections each of them keeps.
func TestIdleConnectionsScaleWithDispatchers(t *testing.T) {
	const opened = 5 // number of health checks, for each of which a connection is opened
	for _, test := range []struct{ peers, maxIdle int }{
		{peers: maxWorkerIdleConnections / 3, maxIdle: 3},
		{peers: 48 * maxWorkerIdleConnections, maxIdle: 1},
	} {
		rig := testkit.NewRig(t)
		worker := testkit.NewScriptedWorker(t)
		rig.Dispatcher.Settings.Peers = test.peers
		worker.SetScripts(slices.Repeat([]string{testkit.LoadResponse}, opened)...)
		var client *Client
		rig.Do(func() {
			client = newWorkerClient(t, rig, listedWorker{Name: soleWorker, Address: worker.Addr(), Health: "ready"})
			for range opened {
				client.CheckHealth(soleWorker)
			}
		})
		for end := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) {
			idle, open := 0, 0
			rig.Do(func() {
				idle = len(client.idle[client.registry.Worker(soleWorker)])
				open = rig.Engine.OpenConnections()
			})
			accepted := worker.ConnectionsAccepted()
			if idle > test.maxIdle {
				t.Fatalf("%d dispatchers: %d idle connections, want %d at most", test.peers, idle, test.maxIdle)
			}
			if accepted == opened && idle == test.maxIdle && open == test.maxIdle {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d dispatchers: %d connections accepted, %d idle, %d open", test.peers, accepted, idle, open)
			}
		}
	}
}

// Checks that bytes that arrive on an idle connection are not taken for the response to the next request, and that the
// connection's close does not end the next attempt, even if the loop handles the bytes or the close in the same turn as
// the request.
func TestInputOnIdleConnectionIsNotAResponse(t *testing.T) {
	writes := func(text string) func(*testing.T, *testkit.Rig, *testkit.AcceptedConn) {
		return func(t *testing.T, rig *testkit.Rig, conn *testkit.AcceptedConn) { rig.Write(t, conn.Conn, text) }
	}
	for name, interfere := range map[string]func(*testing.T, *testkit.Rig, *testkit.AcceptedConn){
		"a rejection": writes("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
		"half a line": writes(`{"id":"id00`),
		"a response":  writes(testkit.DoneResponse("id000002")),
		"a close":     func(_ *testing.T, _ *testkit.Rig, conn *testkit.AcceptedConn) { conn.Close() },
		"a reset":     func(_ *testing.T, _ *testkit.Rig, conn *testkit.AcceptedConn) { conn.Reset() },
	} {
		for _, requestFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, received before the request: %v", name, !requestFirst), func(t *testing.T) {
				rig := testkit.NewRig(t)
				worker := testkit.Listen(t)
				startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
				first := post(rig, testkit.Renewal, "id000001")
				conn := worker.Accept()
				conn.ServeRequest()
				requireOutcome(t, "the first request", first, dispatch.Served)

				release := rig.BlockLoop()
				var second testkit.Responses
				if requestFirst {
					second = post(rig, testkit.Renewal, "id000002")
				}
				interfere(t, rig, conn)
				if !requestFirst {
					second = post(rig, testkit.Renewal, "id000002")
				}
				release()
				worker.Accept().ServeRequest()
				checkOutcome(t, "the next request", second, dispatch.Served)
			})
		}
	}
}

// Checks that a request that is unsafe to retry is sent only on a connection that has been idle for the reuse delay, or
// on a new one. A late second response to the previous request does not name its request if it states that nothing ran,
// so it could be taken for the response to the new one. Idempotent requests may use the connection immediately.
func TestUnsafeRequestWaitsForReuseDelay(t *testing.T) {
	rig := testkit.NewRig(t, func(settings *decision.Settings) {
		settings.Classes = append(settings.Classes, decision.Class{
			Name:             "transfer",
			PriorityWeight:   4,
			LatencyObjective: time.Second,
			Deadline:         8 * time.Second,
			Idempotency:      decision.Deduplicated,
			DedupWindow:      2 * time.Second,
		})
	})
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), time.Hour)
	first := post(rig, testkit.Renewal, "id000001")
	conn := worker.Accept()
	conn.ServeRequest()
	requireOutcome(t, "the first request", first, dispatch.Served)
	for class, id := range map[int]string{testkit.Renewal: "id000002", transferClass: "id000003"} {
		unsafe := post(rig, class, id)
		otherConn := worker.Accept()
		otherConn.ServeRequest()
		checkOutcome(t, id, unsafe, dispatch.Served)
		otherConn.Close()
	}
	testkit.Until(t, "the others' closes are detected", func() bool { return idleConnections(rig, client, soleWorker) == 1 })

	safe := post(rig, testkit.StatusCheck, "id000004")
	conn.ServeRequest()
	checkOutcome(t, "an idempotent request", safe, dispatch.Served)
	rig.Do(func() { client.reuseDelay = noReuseDelay })
	later := post(rig, testkit.Renewal, "id000005")
	conn.ServeRequest()
	checkOutcome(t, "on a connection that has been idle for longer", later, dispatch.Served)
}

// Checks that a connection is not reused after its idle timeout, even if the event loop was delayed and has not closed
// it yet.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	rig := testkit.NewRig(t, func(settings *decision.Settings) { settings.ConnectionIdleTimeout = 200 * time.Millisecond })
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	first := make(testkit.Responses, 1)
	second := make(testkit.Responses, 1)
	loopBlocked := make(chan struct{})
	acceptSecondLate := func() { // the connection is idle by now, and its idle timeout ends during this turn of the loop
		idleUntil := client.idle[client.registry.Worker(soleWorker)][0].idle.until
		close(loopBlocked)
		for rig.Dispatcher.Loop.Now() <= idleUntil {
			time.Sleep(time.Millisecond)
		}
		rig.Dispatcher.Accept(second, 0, newRequest(rig, testkit.Renewal, "id000002"))
	}
	respondToFirst := testkit.RespondFunc(func(response dispatch.Response) {
		rig.Dispatcher.Loop.Post(acceptSecondLate)
		first <- response
	})
	rig.Do(func() { rig.Dispatcher.Accept(respondToFirst, 0, newRequest(rig, testkit.Renewal, "id000001")) })
	conn := worker.Accept()
	conn.ServeRequest()
	testkit.Receive(t, first)
	<-loopBlocked
	closed := make(chan bool, 1)
	go func() {
		_, err := conn.Reader.ReadByte()
		closed <- errors.Is(err, io.EOF)
	}()
	worker.Accept().ServeRequest()
	checkOutcome(t, "the next request", second, dispatch.Served)
	if !<-closed {
		t.Error("the connection was reused after its idle timeout")
	}
}
