//go:build review

// Command 3 cuts a dispatcher that follows membership servers off from them, lets a worker begin
// to drain, and checks that the worker gets nothing new once the drain counts as told.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hollyyoke.example/hollyyoke/review/harness"
)

const (
	clients     = 4
	runTime     = 200 * time.Millisecond
	pause       = 300 * time.Millisecond // between a client's requests
	timeLeft    = 5 * time.Second
	beforeCut   = 3 * time.Second
	beforeDrain = time.Second      // after the cut
	afterDrain  = 16 * time.Second // until the cut heals
	afterHeal   = 4 * time.Second

	toldAfter = 6 * time.Second                            // whether or not it arrived
	grace     = 500*time.Millisecond + 50*time.Millisecond // of the settings, and of the rules on sockets
	slack     = 150 * time.Millisecond                     // for the stand-ins' own lateness
	loadFor   = beforeCut + beforeDrain + afterDrain + afterHeal
)

func main() {
	run := harness.Start()
	staying := run.StartWorker("s-1", 4, runTime)
	leaving := run.StartWorker("s-2", 4, runTime)
	discovery := run.StartDiscovery(staying.Host("ready"), leaving.Host("ready"))
	links := []*harness.Link{
		run.StartLink(startRelay(run, "relay-z1", "zarqa-east", discovery.Address)),
		run.StartLink(startRelay(run, "relay-z2", "russeifa", discovery.Address)),
	}
	listen, admin := run.FreeAddress(), run.FreeAddress()
	command, source := harness.RunCommand+" --operator "+writeOperator(run, links), discovery.Address
	if os.Getenv("FOLLOW") == "0" { // for comparison: the discovery watch, behind the same cut
		links = append(links, run.StartLink(discovery.Address))
		command, source = harness.RunCommand, links[2].Address
	}
	config := run.WriteConfig("config.json", harness.Config{Name: "n1", Listen: listen, Discovery: source, Admin: admin})
	run.StartProcess("dispatcher", command, []string{"BALANCER_CONFIG=" + config, "TMPDIR=" + run.Folder})
	run.WaitUntil("the dispatcher is ready", 10*time.Second, func() bool { return harness.Ready(admin) })

	stop := time.Now().Add(loadFor)
	for number := range clients {
		go load(run, listen, number, stop)
	}
	time.Sleep(beforeCut)
	told := time.Duration(0)
	if run.Trouble {
		told = toldAfter
		for _, link := range links {
			link.Cut()
		}
		run.Log("the dispatcher is cut off from its membership servers")
	}
	time.Sleep(beforeDrain)
	leaving.Drain()
	drained := time.Now()
	discovery.Set(leaving.Host("draining"))
	time.Sleep(afterDrain)
	if run.Trouble {
		run.Log("the cut heals; the counters of the invariants: %s", harness.Get("http://"+admin+"/control/invariants"))
		for _, link := range links {
			link.Heal()
		}
	}
	time.Sleep(afterHeal)

	limit := told + grace + slack
	late := 0
	for _, arrival := range leaving.Arrivals() {
		after := arrival.At.Sub(drained)
		if after > limit {
			late++
			run.Log("s-2 got %s %.3f s after the drain, %.3f s after the limit", arrival.ID, after.Seconds(), (after - limit).Seconds())
		}
	}
	if late > 0 {
		run.Broken("a draining worker got %d new requests more than %v after its drain", late, limit)
	}
	run.End()
}

// startRelay starts a relay that follows discovery, and returns its address.
func startRelay(run *harness.Run, name, zone, discovery string) string {
	address, admin := run.FreeAddress(), run.FreeAddress()
	path := filepath.Join(run.Folder, name+".toml")
	options := fmt.Sprintf("[relay]\nname = %q\nzone = %q\nlisten = %q\nadmin_addr = %q\nupstreams = [%q]\n", name, zone, address, admin, discovery)
	run.Must(os.WriteFile(path, []byte(options), 0o644))
	run.StartProcess(name, "exec bin/membership-relay --operator "+path, nil)
	run.WaitUntil(name+" has a list", 10*time.Second, func() bool {
		text := harness.Get("http://" + address + "/v1/servers")
		return len(text) > 0 && text[0] == '{'
	})
	return address
}

// writeOperator writes the operator's file: the dispatcher follows the relay of its zone, and
// that of another zone as the second server.
func writeOperator(run *harness.Run, links []*harness.Link) string {
	path := filepath.Join(run.Folder, "operator.toml")
	options := fmt.Sprintf("[membership]\non = true\nzone = \"zarqa-east\"\n"+
		"[[membership.servers]]\nzone = \"zarqa-east\"\naddress = %q\n"+
		"[[membership.servers]]\nzone = \"russeifa\"\naddress = %q\n", links[0].Address, links[1].Address)
	run.Must(os.WriteFile(path, []byte(options), 0o644))
	return path
}

// load sends one request after the other on a kept connection.
func load(run *harness.Run, address string, number int, stop time.Time) {
	var connection *harness.Client
	for count := 0; time.Now().Before(stop); count++ {
		if connection == nil {
			opened, err := run.Connect(fmt.Sprint(number), address)
			if err != nil {
				time.Sleep(time.Second)
				continue
			}
			connection = opened
		}
		answer := connection.Post("/status-check/m", fmt.Sprintf("c-%d-%d", number, count), "", timeLeft, "x")
		if answer.Err != nil || answer.Close {
			connection.Close()
			connection = nil
		}
		time.Sleep(pause)
	}
}
