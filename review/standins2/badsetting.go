//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["10"] = playBadSettingAndRestart }

const (
	toldWithin   = 6 * time.Second // whatever discovery has to tell counts as told so long after it had it and could be reached
	drainGrace   = 500 * time.Millisecond
	socketMargin = 50 * time.Millisecond // every time limit is so much longer on sockets
)

// playBadSettingAndRestart lets a worker drain while the origin's state holds a setting that dispatchers reject, restarts
// the dispatcher by plan, and checks that the draining worker gets nothing new.
func playBadSettingAndRestart(c *testCase) {
	workers := map[string]*httpWorker{}
	var ready []host
	for _, name := range []string{"s-0001", "s-0002", "s-0003"} {
		workers[name] = c.startWorker(name, 100*time.Millisecond)
		ready = append(ready, host{Host: name, Dial: workers[name].address, Site: "zarqa-east", Class: "standard", Health: "ready", Share: 1})
	}
	source := c.startOrigin()
	source.publish(ready)
	relayAddress := c.freeAddress()
	relayFile := c.writeFile("relay.toml", fmt.Sprintf("[relay]\nname = \"relay-z1\"\nzone = \"zarqa-east\"\nlisten = %q\nupstreams = [%q]\n", relayAddress, source.address))
	c.start("relay", "exec bin/membership-relay --operator "+relayFile)
	operatorFile := c.writeFile("operator.toml", fmt.Sprintf(
		"[membership]\non = true\nzone = \"zarqa-east\"\n[[membership.servers]]\nzone = \"zarqa-east\"\naddress = %q\n[[membership.servers]]\nzone = \"russeifa\"\naddress = %q\n",
		relayAddress, source.address))
	config := smallConfig("n1")
	address := c.freeAddress()
	config["listen"] = address
	config["discovery"] = source.address
	config["known"] = list{Seq: 1, Whole: true, Hosts: ready}
	daemon := c.startDaemon("dispatcher-1", config, " --operator "+operatorFile)
	c.waitUntil("the dispatcher is ready", 20*time.Second, func() bool { return isReady(address) })
	clients := c.newClients("first")
	clients.sendSteadily(address, "status-check", 50*time.Millisecond)
	time.Sleep(2 * time.Second)
	if c.trouble {
		source.publish(nil, setting{"classes[0].worth", "high"})
	} else {
		source.publish(nil, setting{"classes[0].worth", 4})
	}
	time.Sleep(2 * time.Second)
	draining := ready[0]
	draining.Health = "draining"
	source.publish([]host{draining})
	workers[draining.Host].drain()
	drainedAt := time.Now()
	time.Sleep(3 * time.Second)
	clients.finish()
	c.record("%s got %d requests more than 0.55 s after the drain", draining.Host,
		len(workers[draining.Host].arrivedAfter(drainedAt.Add(drainGrace+socketMargin))))
	c.signal(daemon, syscall.SIGTERM)
	if !daemon.hasEnded(9 * time.Second) {
		c.cannotRun("the dispatcher has not ended")
	}
	c.startDaemon("dispatcher-2", config, " --operator "+operatorFile)
	restartedAt := time.Now()
	c.waitUntil("the dispatcher is ready", 20*time.Second, func() bool { return isReady(address) })
	c.record("platform: the dispatcher is ready %.3f s after its start", time.Since(restartedAt).Seconds())
	clients = c.newClients("second")
	clients.sendSteadily(address, "status-check", 50*time.Millisecond)
	time.Sleep(15 * time.Second)
	clients.finish()
	for _, arrival := range workers[draining.Host].arrivedAfter(restartedAt.Add(toldWithin + drainGrace + socketMargin)) {
		c.violated("%s, which drains, got a request %.3f s after the start of the dispatcher", draining.Host, arrival.Sub(restartedAt).Seconds())
	}
	if clients.answers[200] == 0 {
		c.cannotRun("no request was served")
	}
}
