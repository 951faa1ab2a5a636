package main

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// smallReserveFile writes the shipped operator file with a reserve that fits a small daemon, and returns its path.
func smallReserveFile(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, "operator.toml", strings.Replace(string(text), "reserve_connections = 128", "reserve_connections = 40", 1))
}

func smallFlood() *floodCmd {
	return &floodCmd{Hostile: 700, Sources: 64, Descriptors: 220, Clients: 8, Rate: 60, Duration: 4 * time.Second, Seed: 1, Daemon: daemon}
}

// During a flood, known clients are served in time if connection admission is on, and less often if it is off. Every
// accepted request has one final answer.
func TestFlood(t *testing.T) {
	flood := smallFlood()
	on, err := flood.runPart(floodPart{name: "on", operatorFile: smallReserveFile(t), hostileClients: flood.Hostile})
	if err != nil {
		t.Fatal(err)
	}
	off, err := flood.runPart(floodPart{name: "off", hostileClients: flood.Hostile})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("on: %d of %d answered, %d served in time; off: %d answered, %d in time", on.Answered, on.Sent, on.WithinObjective, off.Answered, off.WithinObjective)
	if !on.RulesHeld || !off.RulesHeld {
		t.Errorf("on: %s; off: %s", on.Summary, off.Summary)
	}
	if on.percent(on.Answered) < 99 || on.percent(on.WithinObjective) < 80 || on.WithinObjective <= off.WithinObjective {
		t.Errorf("with admission on at least 99 %% must be answered, and 80 %% in time, more than with it off\non: %+v\noff: %+v", on, off)
	}
	checkFloodConnections(t, on.Connections)
}

// checkFloodConnections checks the admin API's view of the connections during a flood.
func checkFloodConnections(t *testing.T, raw json.RawMessage) {
	t.Helper()
	var connections struct {
		connlimit.View
		Descriptors map[string]map[string]int `json:"descriptors"`
	}
	if err := json.Unmarshal(raw, &connections); err != nil {
		t.Fatalf("%v: %s", err, raw)
	}
	if connections.Trust["unknown"] == 0 || len(connections.Rejections) == 0 {
		t.Errorf("want unknown connections and rejections: %s", raw)
	}
	if connections.Reserve != 40 || connections.Descriptors["backends"]["floor"] == 0 {
		t.Errorf("want a reserve of 40 and a minimum of descriptors for workers above 0: %s", raw)
	}
}

// The daemon's descriptor limit is lowered under load, below the number of open descriptors, and restored later. No
// accepted request may be lost, the daemon must not use the processor in a busy loop, and the service must recover.
func TestDescriptorsRunOut(t *testing.T) {
	flood := smallFlood()
	flood.Hostile = 200
	flood.Rate = 120
	flood.Duration = 6 * time.Second
	var cpuBefore, cpuAfter time.Duration
	var fleet *standin.Fleet
	exhaust := func(running *standin.Fleet) {
		fleet = running
		time.Sleep(2 * time.Second)
		cpuBefore = fleet.CPU()
		restore, lowered := lowerDescriptorLimit(fleet.PID())
		if !lowered {
			return
		}
		defer restore()
		time.Sleep(2 * time.Second)
		cpuAfter = fleet.CPU()
	}
	result, err := flood.runPart(floodPart{name: "exhausted", operatorFile: smallReserveFile(t), hostileClients: flood.Hostile, duringLoad: exhaust})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if t.Failed() {
			t.Log(fleet.Log.String())
		}
	}()
	if result.lost > 0 || !result.RulesHeld {
		t.Errorf("%d lost or answered twice: %s, %v", result.lost, result.Summary, result.Failures)
	}
	if spent := cpuAfter - cpuBefore; spent > time.Second {
		t.Errorf("%v of processor time in 2 s without descriptors, want at most 1 s", spent)
	}
	for i, second := range result.seconds {
		t.Logf("second %d: sent %d, served %d, rejected %d, failed %d, lost %d",
			i, second.Replayed, second.Served, second.Rejected, second.Failed, second.Lost)
	}
	last := result.seconds[6] // the last complete second in which requests are sent, two after the limit is restored
	if last.Served < last.Replayed*9/10 || last.Replayed < 80 {
		t.Errorf("two seconds after the limit rose %d were sent and %d served, want at least 80 and nine tenths of them", last.Replayed, last.Served)
	}
}

// Guards against a view of the connections that is taken when the flood is over: hostile clients stopped at a fixed time,
// and known clients may be served later than that on a busy machine.
func TestHostileClientsRunUntilStopped(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	target.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	flood := smallFlood()
	flood.Duration = 10 * time.Millisecond
	stop := flood.startHostile(target.Addr().String(), 5)
	const busyFor = 3 * time.Second // that known clients are served later than planned
	for began := time.Now(); time.Since(began) < busyFor; {
		conn, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	stop()
}
