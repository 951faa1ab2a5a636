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
	// varyingFields differ from run to run: future times, and the rest of a block's time.
	varyingFields = regexp.MustCompile(`"due":"20[2-8][^"]*"|"for_s":[0-9.]+`)

	contentLength = regexp.MustCompile(`Content-Length: \d+`)
)

// maskVarying replaces the values of varyingFields in a response and, where there are
// any, the length of its body, which may differ too.
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

// transcript makes calls one after the other and returns the bytes of both sides.
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

// The answers where all subsystems are off, and those to wrong calls.
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
	api.do(func() {
		api.ready = false
		api.refusal = io.ErrClosedPipe
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

// The counters and the guard's counts, with something in each field. Each rule is
// violated another number of times, so that names cannot change places.
func TestGoldenCounters(t *testing.T) {
	api := newTestAPI(t)
	api.do(func() {
		api.addScriptedWorkers()
		api.acceptScripted()
		breakRules(&api.dispatcher.Guard)
	})
	goldentest.CompareHTTP(t, "figures.golden", api.transcript(t, "GET /control/counters", "GET /control/invariants"))
}

// breakRules has a guard prevent and find violations of each rule, of the n-th n times.
func breakRules(guard *invariant.Guard) {
	repeat := func(times int, breakRule func()) {
		for range times {
			breakRule()
		}
	}
	leaving := invariant.Send{Leaving: true, Now: 2, Deadline: 9}
	duplicate := invariant.Start{Deadline: 9, NonIdempotent: true, MayHaveRun: true}
	answered := invariant.Start{Deadline: 9, Answered: true}
	repeat(1, func() { guard.MaySend(leaving) })
	repeat(2, func() { guard.MaySend(invariant.Send{Deadline: 9, ListStale: true}) })
	repeat(3, func() { guard.MaySend(invariant.Send{Now: 2, Deadline: 1}) })
	repeat(4, func() { guard.MaySend(invariant.Send{Now: 2, Deadline: 9, RetryBy: 1}) })
	repeat(5, func() { guard.MayStart(duplicate) })
	repeat(6, func() { guard.MayStart(answered) })

	allowed := invariant.Start{Deadline: 9}
	late := invariant.Start{Now: 2, Deadline: 1}
	inTime := invariant.Send{Deadline: 9}
	repeat(1, func() { guard.CheckSent(allowed, leaving, "s") })
	repeat(3, func() { guard.CheckSent(late, inTime, "s") })
	repeat(5, func() { guard.CheckSent(duplicate, inTime, "s") })
	repeat(6, func() { guard.CheckSent(answered, inTime, "s") })
	repeat(7, func() { guard.CheckClosed(true, "s") })
}
