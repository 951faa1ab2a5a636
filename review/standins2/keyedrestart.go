//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = playKeyedRenewalsOverRestart }

const (
	keyedRenewals  = 4
	askAgainFor    = 25 * time.Second
	askInterval    = time.Second
	keyedTimeLeft  = 3 * time.Second
	firstAfterTerm = 100 * time.Millisecond // the first renewal after SIGTERM; the last comes before 0.4 s
	betweenKeyed   = 60 * time.Millisecond
)

// playKeyedRenewalsOverRestart sends renewals with an idempotency key right after SIGTERM, starts the dispatcher again, and
// checks that the renewals that were answered as stored run.
func playKeyedRenewalsOverRestart(c *testCase) {
	worker := c.startWorker("s-0001", 200*time.Millisecond)
	source := c.startOrigin()
	listed := []host{{Host: worker.name, Dial: worker.address, Site: "zarqa-east", Class: "standard", Health: "ready", Share: 1}}
	source.publish(listed)
	options := c.writeFile("faktory.toml", fmt.Sprintf(
		"listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\"]\n", c.freeAddress(), c.dir+"/jobs.db"))
	config := smallConfig("n1")
	address := c.freeAddress()
	config["listen"] = address
	config["discovery"] = source.address
	config["known"] = list{Seq: 1, Whole: true, Hosts: listed}
	daemon := c.startDaemon("dispatcher-1", config, " --faktory "+options)
	c.waitUntil("the dispatcher is ready", 20*time.Second, func() bool { return isReady(address) })
	clients := c.newClients("keyed")
	for i := range 3 {
		status, _ := clients.send(address, "renewal", fmt.Sprintf("before-%d", i), keyedTimeLeft, "Idempotency-Key", fmt.Sprintf("payment-before-%d", i))
		if status != http.StatusOK {
			c.cannotRun("a renewal before the restart is answered %d", status)
		}
	}
	if c.trouble {
		c.signal(daemon, syscall.SIGTERM)
	}
	time.Sleep(firstAfterTerm)
	stored := sendKeyed(c, clients, address)
	if c.trouble {
		if !daemon.hasEnded(9 * time.Second) {
			c.cannotRun("the dispatcher has not ended")
		}
		c.startDaemon("dispatcher-2", config, " --faktory "+options)
		c.waitUntil("the dispatcher is ready", 20*time.Second, func() bool { return isReady(address) })
		c.record("platform: the dispatcher is ready again")
	}
	askAgain(c, clients, address, stored)
}

// sendKeyed sends the renewals and returns the keys of those that are stored and not complete.
func sendKeyed(c *testCase, clients *httpClients, address string) (stored []string) {
	var all sync.WaitGroup
	var mutex sync.Mutex
	for i := range keyedRenewals {
		key := fmt.Sprintf("payment-%d", i)
		all.Go(func() {
			status, _ := clients.send(address, "renewal", "first-"+key, keyedTimeLeft, "Idempotency-Key", key)
			mutex.Lock()
			defer mutex.Unlock()
			if status == http.StatusAccepted {
				stored = append(stored, key)
			}
		})
		time.Sleep(betweenKeyed)
	}
	all.Wait()
	c.record("%d of %d renewals were answered 202: stored and not complete", len(stored), keyedRenewals)
	if c.trouble && len(stored) == 0 {
		c.cannotRun("no renewal was answered 202")
	}
	return stored
}

// askAgain asks for each stored renewal again with the same key until it is complete.
func askAgain(c *testCase, clients *httpClients, address string, stored []string) {
	end := time.Now().Add(askAgainFor)
	for _, key := range stored {
		status := 0
		for ask := 0; status != http.StatusOK && time.Now().Before(end); ask++ {
			status, _ = clients.send(address, "renewal", fmt.Sprintf("again-%s-%d", key, ask), askInterval, "Idempotency-Key", key)
			if status != http.StatusOK {
				time.Sleep(askInterval)
			}
		}
		if status != http.StatusOK {
			c.violated("%s was answered 202 and has not run %v after the restart; the worker is idle", key, askAgainFor)
		}
	}
	clients.finish()
}
