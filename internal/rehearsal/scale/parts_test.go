package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

const patience = 20 * time.Second // no test waits that long unless something is broken

func planScenario() Scenario {
	s := Scenario{Name: "x", Seed: 5, Workers: 170, Zones: 17, Regions: 6, Dispatchers: 17, LengthS: 30, DeadlineS: 60,
		Day: Day{Factor: 400, Changes: 32000, Failures: 180, Restarts: 1100}, Events: []Event{
			{Kind: ZoneLoss, AtS: 5, OverS: 1, Zone: 3}, {Kind: ZoneReturn, AtS: 15, OverS: 2, Zone: 3}, {Kind: Cold, AtS: 20, Count: 17}}}
	if err := s.Check(); err != nil {
		panic(err)
	}
	return s
}

func TestPlanFollowsFromTheSeed(t *testing.T) {
	s := planScenario()
	one, two := NewPlan(&s), NewPlan(&s)
	if !reflect.DeepEqual(one, two) {
		t.Error("two plans of one seed differ")
	}
	s.Seed++
	if reflect.DeepEqual(one, NewPlan(&s)) {
		t.Error("another seed gives the same plan")
	}
}

func TestPlanOfAZoneLoss(t *testing.T) {
	s := planScenario()
	plan := NewPlan(&s)
	count := map[string]int{}
	before := time.Duration(0)
	for _, step := range plan.Steps {
		if step.At < before {
			t.Fatalf("a step at %v comes after one at %v", step.At, before)
		}
		before = step.At
		for _, change := range step.Changes {
			count[step.Phase+" "+change[0].Host.Health] += len(change)
			if lost := change[0].Host.Site == ZoneName(3); lost && step.Phase == phaseCalm {
				t.Error("a worker of the lost zone changes for another cause")
			}
		}
	}
	// Ten workers are in each zone; what the day adds comes on top of their return.
	if gone := count["zone_loss gone"]; gone < 10 || count["zone_return ready"] < 10 || count["cold ready"] < 17 {
		t.Errorf("%v", count)
	}
	if steps := plan.Steps; len(steps) > 0 {
		for i, step := range steps {
			if step.Action.Kind == ZoneLoss && (steps[i+1].Phase != "zone_loss" || steps[i+1].At < step.At) {
				t.Errorf("after the loss: %+v", steps[i+1])
			}
		}
	}
}

func TestRegionsShareZonesOut(t *testing.T) {
	zones := map[int]int{}
	for zone := range 17 {
		zones[RegionOf(zone, 17, 6)]++
	}
	for region := range 6 {
		if zones[region] < 2 || zones[region] > 3 {
			t.Errorf("region %d has %d zones", region, zones[region])
		}
	}
}

func TestTrackerCountsReachableDispatchersAlone(t *testing.T) {
	at := func(s float64) time.Duration { return seconds(100 + s) }
	tr := newTracker()
	for _, name := range []string{"a", "b", "c"} {
		tr.applied(name, 1, at(0))
	}
	tr.make(2, at(1), "calm")
	tr.applied("a", 2, at(1.1))
	tr.applied("b", 2, at(1.4))
	tr.applied("c", 2, at(1.2))
	tr.cut("c", at(2))
	tr.make(3, at(3), "cut")
	tr.applied("a", 3, at(3.2))
	tr.applied("b", 3, at(3.1))
	tr.heal("c", at(9), "heal", 3)
	tr.applied("c", 3, at(9.5))
	tr.make(4, at(10), "after")
	tr.applied("a", 4, at(10.1))
	tr.applied("b", 4, at(10.1))

	near := func(what string, got []float64, want float64) {
		t.Helper()
		if len(got) != 1 || math.Abs(got[0]-want) > 1e-6 {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	took, missing := tr.inForce("calm")
	near("calm", took, 0.4)
	if missing != 0 {
		t.Error("one that was late counts as missing")
	}
	if took, missing = tr.inForce("cut"); missing != 0 {
		t.Error("one that was cut off counts as missing")
	}
	near("cut", took, 0.2)
	if took, missing = tr.inForce("after"); len(took) != 0 || missing != 1 {
		t.Errorf("one dispatcher never had it: %v %d", took, missing)
	}
	caught, never := tr.catchUp()
	near("heal", caught["heal"], 0.5)
	if never != 0 || tr.back != 0 {
		t.Errorf("never %d, back %d", never, tr.back)
	}
	if tr.applied("a", 3, at(11)); tr.back != 1 {
		t.Error("going back to an older version is not noticed")
	}
}

func TestQuantilesByNearestRank(t *testing.T) {
	values := []float64{4, 1, 3, 2}
	for q, want := range map[float64]float64{0: 1, 0.5: 2, 0.99: 4, 1: 4} {
		if got := quantile(values, q); got != want {
			t.Errorf("quantile %g: %g, not %g", q, got, want)
		}
	}
}

func TestWorstSpanOfARun(t *testing.T) {
	run := &Run{}
	began := time.Unix(1000, 0)
	total := int64(0)
	for second := range 31 {
		run.samples = append(run.samples, sample{at: began.Add(time.Duration(second) * time.Second), bytes: map[string]int64{"d": total}})
		if total += 10; second >= 12 && second < 17 {
			total += 90
		}
	}
	count := func(s *sample) float64 { return float64(s.bytes["d"]) }
	if got := run.worst(10*time.Second, count); got != 55 {
		t.Errorf("busiest ten seconds: %g", got)
	}
	if got := run.worst(time.Minute, count); math.Abs(got-25) > 1e-9 {
		t.Errorf("a run of half a minute: %g", got)
	}
}

// server answers each connection's first line with the same line.
func server(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestLinkCountsByName(t *testing.T) {
	var book ledger
	l, err := newLink(server(t), "", &book)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	conn := dial(t, l.addr)
	const request = "GET /v1/servers?watch=1&after=0&name=d-7 HTTP/1.1\r\n\r\n"
	io.WriteString(conn, request)
	if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	if got := book.totals()["d-7"]; got != 2*int64(len(request)) {
		t.Errorf("%d bytes of %d", got, 2*len(request))
	}
	if l.sent.Load() != int64(len(request)) || l.open.Load() != 1 {
		t.Errorf("%d bytes sent, %d open", l.sent.Load(), l.open.Load())
	}
}

// A cut link is silent, to what is open and to what is new, and resets both when it heals.
func TestCutLink(t *testing.T) {
	var book ledger
	l, err := newLink(server(t), "d", &book)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	old := dial(t, l.addr)
	echo := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	if err := echo(old); err != nil {
		t.Fatal(err)
	}
	l.setCut(true)
	fresh := dial(t, l.addr)
	for name, conn := range map[string]net.Conn{"open": old, "new": fresh} {
		conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		if err := echo(conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection over a cut link: %v", name, err)
		}
		conn.SetDeadline(time.Now().Add(patience))
	}
	l.setCut(false)
	for name, conn := range map[string]net.Conn{"open": old, "new": fresh} {
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection after the heal: %v", name, err)
		}
	}
	if err := echo(dial(t, l.addr)); err != nil {
		t.Errorf("after the heal: %v", err)
	}
}

func TestNetworkCuts(t *testing.T) {
	n := newNetwork(&Scenario{Zones: 4, Regions: 2})
	if !n.joined(0, 3) || !n.joined(2, 3) {
		t.Fatal("a whole network is cut")
	}
	n.lostRegions[1] = true
	if n.joined(0, 3) || !n.joined(2, 3) || !n.joined(0, 1) {
		t.Error("a region that is cut off keeps its own zones together, and the others theirs")
	}
	delete(n.lostRegions, 1)
	n.lostZones[2] = true
	if n.joined(2, 2) || n.joined(3, 2) || !n.joined(3, 0) {
		t.Error("a lost zone reaches nobody, and the others reach each other")
	}
}

func host(name, health string) standin.Host {
	return standin.Host{Host: name, Dial: "127.0.0.1:1", Health: health, Share: 1}
}

func getListing(t *testing.T, url string) (l listing) {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestOriginAnswersFromItsLog(t *testing.T) {
	o, addr, err := startOrigin(3)
	if err != nil {
		t.Fatal(err)
	}
	defer o.close()
	base := "http://" + addr + "/v1/servers"
	o.change([]standin.Host{host("a", "ready"), host("b", "ready")})
	o.change([]standin.Host{host("a", "draining")})
	o.change([]standin.Host{host("b", "gone")})
	o.change([]standin.Host{host("a", "ready")})
	if l := getListing(t, base); !l.Whole || l.Seq != 4 || len(l.Hosts) != 1 {
		t.Errorf("%+v", l)
	}
	if l := getListing(t, base+"?after=2"); l.Whole || len(l.Hosts) != 2 || l.Hosts[0].Health != "ready" {
		t.Errorf("delta: %+v", l)
	}
	if l := getListing(t, base+"?after=4"); l.Whole || len(l.Hosts) != 0 || l.Seq != 4 {
		t.Errorf("nothing new: %+v", l)
	}
	o.change([]standin.Host{host("c", "ready")})
	if l := getListing(t, base+"?after=1"); !l.Whole || l.Seq != 5 {
		t.Errorf("beyond the log: %+v", l)
	}
	answer, err := http.Get(base + "?after=9")
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a version that was never made: %d", answer.StatusCode)
	}
}

func TestOriginWatch(t *testing.T) {
	o, addr, err := startOrigin(10)
	if err != nil {
		t.Fatal(err)
	}
	defer o.close()
	o.change([]standin.Host{host("a", "ready")})
	o.change([]standin.Host{host("b", "ready")})
	answer, err := http.Get("http://" + addr + "/v1/servers?watch=1&after=1")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	next := func() (l listing) {
		t.Helper()
		for lines.Scan() {
			if strings.TrimSpace(lines.Text()) == "" {
				continue
			}
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Fatal(err)
			}
			return l
		}
		t.Fatal(lines.Err())
		return l
	}
	if l := next(); l.Seq != 2 || l.Whole || l.Hosts[0].Host != "b" {
		t.Errorf("%+v", l)
	}
	o.change([]standin.Host{host("c", "ready")})
	if l := next(); l.Seq != 3 || l.Hosts[0].Host != "c" {
		t.Errorf("%+v", l)
	}
}

func TestMeterReadsThisProcess(t *testing.T) {
	m := newMeter()
	m.follow("self", os.Getpid())
	s := m.read()
	if s.cpu["self"] <= 0 || s.rss["self"] <= 0 || s.peak["self"] < s.rss["self"] {
		t.Errorf("%+v", s)
	}
	m.follow("self", os.Getpid()) // as if it had been started anew
	if again := m.read(); again.cpu["self"] < 2*s.cpu["self"] {
		t.Errorf("%v, then %v for two processes", s.cpu["self"], again.cpu["self"])
	}
}
