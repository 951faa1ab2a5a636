package workerclient

import (
	"fmt"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// An attempt for which no descriptor is free, since connections rest at another
// worker, goes out once those are closed: a shortage here says nothing of the
// worker, and must not end the attempt.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	const descriptors = 64
	r := testkit.NewRig(t).WithSubscription(t, 1, 10*time.Second)
	r.LimitDescriptors(t, descriptors)
	r.Do(func() {
		front := httpfront.New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true })
		if _, err := front.Listen("127.0.0.1:0", transport.AcceptedShare(descriptors)); err != nil {
			t.Error(err)
		}
	})
	other, own := testkit.NewScriptedWorker(t), testkit.NewScriptedWorker(t)
	const load = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}"
	most := descriptors - 24 - transport.AcceptedShare(descriptors) // for connections that we open
	other.Mu.Lock()
	for range most {
		other.Scripts = append(other.Scripts, load)
	}
	other.Mu.Unlock()
	own.Mu.Lock()
	own.Scripts = []string{testkit.ChunkedResponse(testkit.DoneLine)}
	own.Mu.Unlock()
	var b *Client
	r.Do(func() {
		b = newWorkerClient(r, "")
		if err := b.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"other","dial":%q,"health":"draining"},{"host":"own","dial":%q,"health":"ready"}]}`,
			other.Listener.Addr(), own.Listener.Addr())); err != nil {
			t.Error(err)
		}
		for range most {
			b.CheckHealth("other")
		}
	})
	testkit.Until(t, "all connections rest", func() (full bool) {
		r.Do(func() { full = len(b.idle[b.registry.Worker("other")]) == most })
		return full
	})
	if n := r.FillDescriptors(t, own.Listener.Addr().String()); n != 0 {
		t.Fatalf("%d descriptors were free", n)
	}
	if v := awaitOutcome(t, acceptRequest(r, 1, "id000001")); v != dispatch.Served {
		t.Errorf("the request ended as %v", v)
	}
}
