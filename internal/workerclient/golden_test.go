package workerclient

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// What a worker is sent: attempts with a path or without, with a key, and a probe.
func TestGoldenRequests(t *testing.T) {
	r := testkit.NewRig(t)
	addr, accept := testkit.ListenOnLoopback(t)
	var set *Client
	r.Do(func() {
		set = newWorkerClient(r, "")
		if err := set.registry.LoadInitial(fmt.Appendf(nil, `{"hosts":[{"host":"s","dial":%q,"site":"here","health":"ready"}]}`, addr)); err != nil {
			t.Error(err)
		}
	})
	var text strings.Builder
	for i, job := range []dispatch.Request{
		{Class: 1, Target: "/renewal/a/k?q=1", Key: "k", Body: []byte("body\r\n")},
		{Class: 0, Target: "/status-check", IdempotencyKey: "key-1"},
		{Class: 1, Key: "a b/ü%", Body: []byte("{}")},
		{Class: 0},
	} {
		job.ID, job.Work = fmt.Sprintf("id%06d", i), 1e6
		got := make(testkit.Responses, 1)
		r.Do(func() { r.Dispatcher.Accept(got, 0, job) })
		h := accept()
		text.WriteString(h.ReadRequest(len(job.Body)) + "\n---\n")
		io.WriteString(h.Conn, strings.ReplaceAll(testkit.StatusLineOK+"Connection: close\r\n\r\n"+testkit.DoneText, "IDENTITY", job.ID))
		h.Conn.Close()
		select {
		case a := <-got:
			if a.Outcome != dispatch.Served || string(a.Body) != "made" {
				t.Errorf("job %d: %v %q", i, a.Outcome, a.Body)
			}
		case <-time.After(testkit.Patience):
			t.Fatal("no answer")
		}
	}
	r.Do(func() { set.CheckHealth("s") })
	text.WriteString(accept().ReadRequest(0))
	testkit.CompareGolden(t, "toworkers.golden", text.String())
}
