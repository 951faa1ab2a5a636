package admin

import (
	"io"
	"regexp"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

var (
	// varyingFields match fields that differ between runs: due times, and the remaining
	// time of a block.
	varyingFields = regexp.MustCompile(`"due":"20[2-8][^"]*"|"for_s":[0-9.]+`)

	contentLength = regexp.MustCompile(`Content-Length: \d+`)
)

// maskVarying replaces the values of varyingFields in a response. If it has any, the length
// of its body may differ too, and is also replaced.
func maskVarying(response string) string {
	masked := varyingFields.ReplaceAllStringFunc(response, func(field string) string {
		key, _, _ := strings.Cut(field, ":")
		return key + ":MASKED"
	})
	if masked == response {
		return response
	}
	return contentLength.ReplaceAllString(masked, "Content-Length: MASKED")
}

// transcript makes calls one after the other, and returns each call with its response.
func (a *testAPI) transcript(t *testing.T, calls ...string) string {
	t.Helper()
	var text strings.Builder
	for _, call := range calls {
		conn := a.dial(t)
		method, _, _ := strings.Cut(call, " ")
		request := call + " HTTP/1.1\r\nHost: h\r\n"
		if method != "GET" {
			request += "Content-Length: 0\r\n"
		}
		io.WriteString(conn, request+"\r\n")
		response, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("%s: %v", call, err)
		}
		text.WriteString("> " + call + "\n" + maskVarying(string(response)) + "\n")
	}
	return text.String()
}

// Responses to all calls while the optional components are off, and to invalid calls.
func TestGoldenCalls(t *testing.T) {
	api := newTestAPI(t)
	longField := strings.Repeat("x", 7000)
	text := api.transcript(t,
		"GET /control/ready",
		"GET /control/counters",
		"GET /control/invariants",
		"PUT /control/out-of-service",
		"PUT /control/in-service",
		"GET /control/membership",
		"GET /control/connections",
		"PUT /control/connections/bar?prefix=10.0.0.0/8&for=1m",
		"PUT /control/connections/unbar?prefix=10.0.0.0/8",
		"GET /control/jobs",
		"GET /control/jobs/show?id=a",
		"PUT /control/jobs/snapshot?name=a",
		"PUT /control/jobs/settle?id=a",
		"PUT /control/jobs/retry?id=a",
		"PUT /control/jobs/discard?id=a",
		"PUT /control/ready",
		"PUT /control/counters",
		"PUT /control/invariants",
		"PUT /control/membership",
		"PUT /control/connections",
		"PUT /control/jobs",
		"PUT /control/jobs/show",
		"GET /control/out-of-service",
		"GET /control/in-service",
		"GET /control/connections/bar",
		"GET /control/connections/unbar",
		"GET /control/jobs/snapshot",
		"GET /control/jobs/settle",
		"GET /control/jobs/retry",
		"GET /control/jobs/discard",
		"GET /",
		"GET /control",
		"GET /metrics",
		"GET /healthz",
		"HEAD /control/ready",
		"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n behind",
		"GET /control/ready HTTP/1.1\r\nX-Long: "+longField+"\r\nX:",
		"nonsense",
		"PUT /control/ready HTTP/1.1\r\nContent-Length: 70000\r\nX:",
	)
	text = strings.ReplaceAll(text, longField, "(7000 times x)")
	api.runOnLoop(func() {
		api.ready = false
		api.setOutOfServiceError = io.ErrClosedPipe
	})
	text += api.transcript(t, "GET /control/ready", "PUT /control/out-of-service", "PUT /control/in-service")
	incomplete := api.dial(t)
	io.WriteString(incomplete, "GET /control/re")
	response, err := io.ReadAll(incomplete)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareHTTP(t, "calls.golden", text+"> half a call\n"+string(response))
}

// Counters and invariant counts, with a value in each field. Each rule is violated a
// different number of times, so that swapped names are detected.
func TestGoldenCounters(t *testing.T) {
	api := newTestAPI(t)
	api.runOnLoop(func() {
		api.addScriptedWorkers()
		api.acceptScripted()
		violateRules(&api.dispatcher.Guard)
	})
	goldentest.CompareHTTP(t, "figures.golden", api.transcript(t, "GET /control/counters", "GET /control/invariants"))
}

// violateRules makes a guard count prevented and detected violations of each rule: n of the
// n-th rule.
func violateRules(guard *invariant.Guard) {
	repeat := func(times int, violate func()) {
		for range times {
			violate()
		}
	}
	leavingSend := invariant.Send{Leaving: true, Now: 2, Deadline: 9}
	duplicateStart := invariant.Start{Deadline: 9, NonIdempotent: true, MayHaveRun: true}
	answeredStart := invariant.Start{Deadline: 9, Answered: true}
	repeat(1, func() { guard.MaySend(leavingSend) })
	repeat(2, func() { guard.MaySend(invariant.Send{Deadline: 9, ListStale: true}) })
	repeat(3, func() { guard.MaySend(invariant.Send{Now: 2, Deadline: 1}) })
	repeat(4, func() { guard.MaySend(invariant.Send{Now: 2, Deadline: 9, RetryBy: 1}) })
	repeat(5, func() { guard.MayStart(duplicateStart) })
	repeat(6, func() { guard.MayStart(answeredStart) })

	allowedStart := invariant.Start{Deadline: 9}
	lateStart := invariant.Start{Now: 2, Deadline: 1}
	allowedSend := invariant.Send{Deadline: 9}
	repeat(1, func() { guard.CheckSent(allowedStart, leavingSend, "s") })
	repeat(3, func() { guard.CheckSent(lateStart, allowedSend, "s") })
	repeat(5, func() { guard.CheckSent(duplicateStart, allowedSend, "s") })
	repeat(6, func() { guard.CheckSent(answeredStart, allowedSend, "s") })
	repeat(7, func() { guard.CheckClosed(true, "s") })
}
