package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// bootLine starts an instance with all settings of the protocol, fills a table, and sends a list update that refers to
// it.
const bootLine = `{"moment_us":5000000,"turn":1,"msgs":[{"cmd":"boot","dispatcher":3,"rng_seed":77,"params":{` +
	`"areas":["a","b"],"my_zone":1,"peers_total":4,"tick_us":2000,"discovery":"ask","worth_by":"work",` +
	`"over_share_worth":0.1,"unheard_of":[1,{"x":2}],` +
	`"classes":[{"deadline_us":5000000,"group":"cell","late_worth":0.25,"name":"q","repeat":"dedup","slo_us":200000,` +
	`"stream":true,"window_us":4000000,"worth":1.5},{"deadline_us":9000000,"repeat":"fragile","slo_us":100,"worth":2,` +
	`"aim_stretch":3,"runs_on":[0,1],"confined_to":[1],"one_at_a_time":true}],` +
	`"domain":{"class_kind":[-1,1],"class_stretch":[2.5,2],"progress_us":1000000,"tells_start":true,"report_x0":"free slots"},` +
	`"limits":{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":200000,"max_attempts":5,"max_retry_after_us":2000000,"probing":true,` +
	`"second_copies":true},` +
	`"weights":"live","prices":{"cross_zone":0.03,"origin":0.15},"projects":[{"name":"t","quota_per_s":12.5,"share":0.4}],` +
	`"reporting":{"fields":["x0"],"via":"probe"},` +
	`"rules":{"answer_slack_us":8000,"ask_within_us":10000000,"cold_from":0.31,"drain_grace_us":500000,` +
	`"fall_multiple":2.5,"fall_us":2000000,"warm_after_us":8600000,` +
	`"extra_floor":1,"extra_ratio":0.2,"look_back_us":10000000,"busy_is_no_proof":true,"key_rest_us":300000}}},` +
	`{"cmd":"table","table":2,"elements":[{"worker":"10.0.0.1:1","failure_domain":1,"shape":2,"pod":3,` +
	`"readiness":"Stopping","capacity_hint":1.5,"last_start_us":6100000}]},` +
	`{"cmd":"roster_change","dispatcher":3,"how":"Persisted","serial":41,"table":2}]}`

// decode decodes a line and returns its batch and messages.
func decode(t *testing.T, decoder *Decoder, line string) (batch Batch, messages []Message, err error) {
	t.Helper()
	err = decoder.Decode([]byte(line), func(begun Batch) { batch = begun }, func(message *Message) error {
		messages = append(messages, *message)
		return nil
	})
	return batch, messages, err
}

// Each setting on the wire is decoded to its field of decision.Settings, and unknown ones are ignored.
func TestDecodeBoot(t *testing.T) {
	batch, got, err := decode(t, NewDecoder(), bootLine)
	if err != nil {
		t.Fatal(err)
	}
	if batch != (Batch{Now: 5 * time.Second, Turn: 1}) {
		t.Fatalf("batch %+v", batch)
	}
	if len(got) != 2 || got[0].Operation != Boot || got[0].Instance != 3 || got[0].Seed != 77 {
		t.Fatalf("messages %+v", got)
	}
	if want := bootSettings(); !reflect.DeepEqual(got[0].Settings, want) {
		t.Fatalf("settings\n got %+v\nwant %+v", got[0].Settings, want)
	}
	endpoint := decision.Endpoint{
		Name:      "10.0.0.1:1",
		Zone:      1,
		Kind:      2,
		Cell:      3,
		State:     decision.Draining,
		Weight:    1.5,
		StartedAt: 6100 * time.Millisecond,
	}
	update := got[1].Event
	if update.ListKind != decision.ListCached || len(update.Endpoints) != 1 || update.Endpoints[0] != endpoint {
		t.Fatalf("list %+v, want the one endpoint %+v", update, endpoint)
	}
}

// bootSettings returns the settings that bootLine encodes.
func bootSettings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{
			{
				Name:             "q",
				PriorityWeight:   1.5,
				LateWeight:       0.25,
				LatencyObjective: 200 * time.Millisecond,
				ObjectiveStretch: 2.5,
				Deadline:         5 * time.Second,
				Idempotency:      decision.Deduplicated,
				DedupScope:       decision.DedupWithinCell,
				DedupWindow:      4 * time.Second,
				Streaming:        true,
			},
			{
				PriorityWeight:   2,
				LatencyObjective: 100 * time.Microsecond,
				ObjectiveStretch: 3,
				Deadline:         9 * time.Second,
				Idempotency:      decision.NonIdempotent,
				Kinds:            []int{1},
				Zones:            []int{1},
				Serialized:       true,
			},
		},
		TenantQuotas:          []float64{12.5},
		OverQuotaWeight:       0.1,
		WeightByWork:          true,
		Zone:                  1,
		Peers:                 4,
		Tick:                  2 * time.Millisecond,
		ListBySubscription:    true,
		ListPollInterval:      10 * time.Second,
		SlowStartFloor:        0.31,
		SlowStartDuration:     8600 * time.Millisecond,
		OverloadMultiple:      2.5,
		OverloadWindow:        2 * time.Second,
		SaturatedMayHaveRun:   true,
		KeyCooldown:           300 * time.Millisecond,
		RetryBudgetWindow:     10 * time.Second,
		RetryBudgetFloor:      1,
		RetryBudgetRatio:      0.2,
		ConnectionIdleTimeout: 30 * time.Second,
		CacheMissCost:         0.15,
		LoadAdjustedWeights:   true,
		MaxAttempts:           5,
		Hedging:               true,
		Cancellation:          true,
		HealthChecks:          true,
		LoadByHealthCheck:     true,
		MaxRetryAfter:         2 * time.Second,
		ConnectTimeout:        200 * time.Millisecond,
		StartNotices:          true,
		ProgressInterval:      time.Second,
		CrossZoneCost:         0.03,
		ZoneNames:             []string{"a", "b"},
		FreeSlotsField:        "x0",
		DrainGrace:            500 * time.Millisecond,
	}
}

// Each message is decoded to its event.
func TestDecodeEvents(t *testing.T) {
	decoder := NewDecoder()
	if _, _, err := decode(t, decoder, bootLine); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		line string
		want decision.Event
	}{
		{`{"cmd":"ingress","dispatcher":3,"corr":3363244424729028,"effort_us":12000,"class":1,"needs":2,"left_us":240000,` +
			`"client_group":4,"key":"fn:a","retry":true}`,
			decision.Event{
				Kind: decision.RequestArrived, Request: 3363244424729028, Class: 1, Tenant: 4, Slots: 2, Key: "fn:a",
				Work: 12 * time.Millisecond, TimeLeft: 240 * time.Millisecond, ClientRetry: true,
			}},
		{`{"cmd":"response","dispatcher":3,"corr":7,"trial":1,"worker":"w","rc":"saturated","rtt_us":18500,` +
			`"settled":true,"gauge":{"x0":0.5,"other":1}}`,
			decision.Event{
				Kind: decision.AttemptEnded, Request: 7, Attempt: 1, Worker: "w", Outcome: decision.Saturated,
				Answered: true,
				Load:     decision.LoadReport{FreeSlots: 0.5, HasFreeSlots: true},
			}},
		{`{"cmd":"interim","dispatcher":3,"corr":7,"worker":"w","kind":1}`,
			decision.Event{Kind: decision.AttemptStarted, Request: 7, Worker: "w"}},
		{`{"cmd":"interim","dispatcher":3,"corr":7,"worker":"w","kind":2,"x":0.5}`,
			decision.Event{Kind: decision.AttemptProgressed, Request: 7, Worker: "w", Fraction: 0.5}},
		{`{"cmd":"first_byte","dispatcher":3,"corr":7,"worker":"w","rtt_us":9}`,
			decision.Event{Kind: decision.FirstByte, Request: 7, Worker: "w"}},
		{`{"cmd":"pong","dispatcher":3,"worker":"w","rc":"completed","rtt_us":9,"gauge":{"x0":3,"outstanding":2,"backlog":4}}`,
			decision.Event{
				Kind: decision.HealthChecked, Worker: "w",
				Load: decision.LoadReport{FreeSlots: 3, HasFreeSlots: true, Outstanding: 2, HasOutstanding: true, Backlog: 4, HasBacklog: true},
			}},
		{`{"cmd":"hangup","dispatcher":3,"corr":7}`, decision.Event{Kind: decision.ClientDisconnected, Request: 7}},
		{`{"cmd":"due","dispatcher":3,"handle":4611686018427387904}`,
			decision.Event{Kind: decision.TimerFired, Timer: 1 << 62}},
		{`{"cmd":"roster_change","dispatcher":3,"how":"Error"}`,
			decision.Event{Kind: decision.ListUpdated, ListKind: decision.ListFailed}},
	} {
		_, got, err := decode(t, decoder, `{"moment_us":1,"turn":2,"msgs":[`+test.line+`]}`)
		if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0].Event, test.want) {
			t.Errorf("%s\n got %+v, %v\nwant %+v", test.line, got, err, test.want)
		}
	}
}

// A table's number may be reused within a batch: each list update refers to the latest
// table of its number before it.
func TestDecodeTableReuse(t *testing.T) {
	table := func(worker string) string {
		return `{"cmd":"table","table":0,"elements":[{"worker":"` + worker + `","readiness":"Running"}]}`
	}
	const listUpdate = `{"cmd":"roster_change","dispatcher":1,"how":"Complete","table":0}`
	_, got, err := decode(t, NewDecoder(),
		`{"moment_us":1,"turn":1,"msgs":[`+strings.Join([]string{table("a"), listUpdate, table("b"), listUpdate}, ",")+`]}`)
	if err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	first := got[0].Event.Endpoints[0].Name
	second := got[1].Event.Endpoints[0].Name
	if first != "a" || second != "b" {
		t.Fatalf("workers %s, %s; want a, b", first, second)
	}
}

// A line that is not a batch, or that has an invalid message, is an error.
func TestDecodeErrors(t *testing.T) {
	for _, line := range []string{
		``, `x`, `[]`, `{}`, `{"moment_us":1,"turn":1}`, `{"moment_us":"1","turn":1,"msgs":[]}`,
		`{"moment_us":-1,"turn":1,"msgs":[]}`, `{"moment_us":1,"turn":1,"msgs":[3]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"ingress","corr":1}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"ingress","dispatcher":1}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"nonsense","dispatcher":1,"corr":1}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"response","dispatcher":1,"corr":1,"rc":"maybe"}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"roster_change","dispatcher":1,"how":"Complete","table":1}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"table","table":16,"elements":[]}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"table","table":1,"elements":[{"worker":"w","readiness":"?"}]}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"boot","dispatcher":1}]}`,
		`{"moment_us":1,"turn":1,"msgs":[{"cmd":"boot","dispatcher":1,"params":{"classes":[{"repeat":"?"}]}}]}`,
	} {
		if _, _, err := decode(t, NewDecoder(), line); err == nil {
			t.Errorf("no error for %s", line)
		}
	}
}

// Each action is encoded as its command on the wire.
func TestEncode(t *testing.T) {
	var encoder Encoder
	encoder.Begin(12)
	encoder.Add(3, []decision.Action{
		{Kind: decision.Assign, Request: 7, Worker: "10.0.0.1:1"},
		{Kind: decision.Reject, Request: 7, Delay: 250 * time.Millisecond},
		{Kind: decision.Reject, Request: 8},
		{Kind: decision.Fail, Request: 7},
		{Kind: decision.CancelAttempt, Request: 7, Attempt: 2},
		{Kind: decision.SetTimer, Timer: 1 << 62, Delay: 1500 * time.Nanosecond},
		{Kind: decision.CheckHealth, Worker: "w"},
		{Kind: decision.Subscribe},
		{Kind: decision.CloseIdle, Worker: "w"},
		{Kind: decision.Log, Text: "say \"é\"\n"},
	})
	const want = `{"turn":12,"cmds":[` +
		`{"cmd":"assign","dispatcher":3,"corr":7,"worker":"10.0.0.1:1"},` +
		`{"cmd":"not_now","dispatcher":3,"corr":7,"come_back_us":250000},` +
		`{"cmd":"not_now","dispatcher":3,"corr":8},` +
		`{"cmd":"finish_error","dispatcher":3,"corr":7},` +
		`{"cmd":"stop_attempt","dispatcher":3,"corr":7,"trial":2},` +
		`{"cmd":"set_alarm","dispatcher":3,"handle":4611686018427387904,"span_us":2},` +
		`{"cmd":"probe","dispatcher":3,"worker":"w"},` +
		`{"cmd":"listen","dispatcher":3,"active":true},` +
		`{"cmd":"release","dispatcher":3,"worker":"w"},` +
		`{"cmd":"say_log","dispatcher":3,"reason_text":"say \"é\"\n"}]}` + "\n"
	if got := string(encoder.End()); got != want {
		t.Fatalf("got  %swant %s", got, want)
	}
}

// FuzzDecode checks that no input makes the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(bootLine))
	f.Add([]byte(`{"moment_us":1,"turn":1,"msgs":[{"cmd":"due","dispatcher":3,"handle":77}]}`))
	f.Add([]byte(`{"moment_us":1e400,"turn":-0,"msgs":[{"cmd":"ingress","dispatcher":3,"corr":1,"left_us":-9e300}]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		_ = NewDecoder().Decode(line, func(Batch) {}, func(*Message) error { return nil })
	})
}
