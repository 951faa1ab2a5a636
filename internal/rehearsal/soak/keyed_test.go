package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Each rule on requests with keys finds the one request that breaks it, and passes over those that are allowed. A rule
// that finds nothing would let a dispatcher take requests and never answer them.
func TestKeyedRules(t *testing.T) {
	start := time.Now()
	target := &daemon{name: "q"}
	const timeout = 2 * time.Second
	sent := func(change func(*request)) request {
		one := request{daemon: target, timeout: timeout, sentAt: start, reusedConnection: true}
		change(&one)
		return one
	}
	answeredAfter := func(status int, after time.Duration) request {
		return sent(func(one *request) {
			one.status = status
			one.answeredAt = start.Add(after)
		})
	}
	closedAfter := func(after time.Duration, reused bool) request {
		return sent(func(one *request) {
			one.closedAt = start.Add(after)
			one.reusedConnection = reused
		})
	}
	for _, test := range []struct {
		name string
		sent request
		want string // part of the violation, or empty
	}{
		{"answered in time", answeredAfter(http.StatusAccepted, timeout), ""},
		{"answered within the slack", answeredAfter(http.StatusBadGateway, timeout+answerSlack), ""},
		{"answered late", answeredAfter(http.StatusAccepted, timeout+answerSlack+100*time.Millisecond), "was answered with 202 after 2.6s"},
		{"refused", answeredAfter(http.StatusServiceUnavailable, 0), ""},
		{"no such answer", answeredAfter(http.StatusNotFound, 0), "was answered with 404"},
		{"never answered", sent(func(*request) {}), "has no answer"},
		{"closed as it came", closedAfter(crossingTime, true), ""},
		{"closed after it was read", closedAfter(crossingTime+100*time.Millisecond, true), "was closed with no answer"},
		{"closed on a new connection", closedAfter(0, false), "was closed with no answer"},
	} {
		checker := ruleChecker{run: &run{start: start}}
		checker.checkKeyedSend(&keyedRequest{key: "key", sent: []request{test.sent}}, &test.sent)
		found := strings.Join(checker.report.Violations, "; ")
		if (found == "") != (test.want == "") || !strings.Contains(found, test.want) {
			t.Errorf("%s: the violations are %q, want %q", test.name, found, test.want)
		}
	}
}

// A key that was answered with 202 once is accepted whatever came later, and one is refused only if each answer was 503.
func TestKeyedRequestIsAcceptedOrRefused(t *testing.T) {
	for _, test := range []struct {
		statuses          []int
		accepted, refused bool
	}{
		{nil, false, false},
		{[]int{503, 503}, false, true},
		{[]int{503, 0, 503}, false, false}, // the one without an answer may be stored
		{[]int{503, 502}, false, false},
		{[]int{503, 202, 503}, true, false},
		{[]int{503, 200}, true, false},
	} {
		var keyed keyedRequest
		for _, status := range test.statuses {
			keyed.sent = append(keyed.sent, request{status: status})
		}
		if keyed.accepted() != test.accepted || keyed.refused() != test.refused {
			t.Errorf("%v: accepted %v, refused %v", test.statuses, keyed.accepted(), keyed.refused())
		}
	}
}
