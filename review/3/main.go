//go:build review

// Command 3 replaces a dispatcher with durable queues while clients rest on connections that
// stay open, and checks that each renewal that they send after SIGTERM is answered, and that one
// that is answered 202 is stored.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/review/harness"
)

const (
	clients      = 12
	runTime      = 300 * time.Millisecond
	leaseSeconds = 15 // lease_s and grace_s
	firstSend    = 200 * time.Millisecond
	sendInterval = 60 * time.Millisecond // the last client sends 0.86 s after SIGTERM
	settleTime   = 12 * time.Second      // after the last answer, in which an accepted job must have begun
)

// timeLeft is how long the clients wait: the class's deadline, and less for every other one.
var timeLeft = []time.Duration{8 * time.Second, 2 * time.Second}

func main() {
	run := harness.Start()
	workers := []*harness.Worker{run.StartWorker("s-1", 6, runTime), run.StartWorker("s-2", 6, runTime)}
	discovery := run.StartDiscovery(workers[0].Host("ready"), workers[1].Host("ready"))
	platform := run.StartPlatform()
	options := run.WriteDurableOptions(leaseSeconds).Path
	config := run.WriteConfig("config.json", harness.Config{Name: "n1", Listen: platform.Address, Discovery: discovery.Address})
	admins := []string{run.FreeAddress(), run.FreeAddress()}
	old := platform.StartDaemon(run, "predecessor", config, admins[0], "--faktory", options)
	run.WaitUntil("the predecessor is ready", 10*time.Second, func() bool { return harness.Ready(admins[0]) })

	connections := connect(run, platform.Address)
	time.Sleep(time.Second)
	current := admins[0]
	if run.Trouble {
		platform.StartDaemon(run, "successor", config, admins[1], "--faktory", options)
		run.WaitUntil("the successor is ready", 6*time.Second, func() bool { return harness.Ready(admins[1]) })
		old.Signal(syscall.SIGTERM)
		go old.WaitExit(3700 * time.Millisecond)
		current = admins[1]
	}
	signalled := time.Now()
	answers := make([]harness.Answer, clients)
	var group sync.WaitGroup
	for number, connection := range connections {
		group.Go(func() {
			time.Sleep(time.Until(signalled.Add(firstSend + time.Duration(number)*sendInterval)))
			answers[number] = sendAfterSignal(run, platform.Address, connection, number)
		})
	}
	group.Wait()
	run.Log("waiting %v for the jobs that were answered 202; nobody asks again", settleTime)
	time.Sleep(settleTime)
	judge(run, workers, run.JobStates(current), answers)
	run.End()
}

// connect opens the clients' connections. Each has one renewal served.
func connect(run *harness.Run, address string) (connections []*harness.Client) {
	for number := range clients {
		connection, err := run.Connect(fmt.Sprint(number), address)
		run.Must(err)
		answer := connection.Post("/renewal/before", fmt.Sprintf("before-%d", number), fmt.Sprintf("before-%d", number), 8*time.Second, "gold")
		if answer.Status != 200 || answer.Close {
			run.NotRun("client %d was not served before the replacement", number)
		}
		connections = append(connections, connection)
	}
	return connections
}

// sendAfterSignal sends a renewal on a connection that is still open. If the connection was
// closed without an answer at once, the close may have crossed the request: then it sends the
// request once more, on a new connection.
func sendAfterSignal(run *harness.Run, address string, connection *harness.Client, number int) harness.Answer {
	key := fmt.Sprintf("after-%d", number)
	left := timeLeft[number%len(timeLeft)]
	answer := connection.Post("/renewal/"+key, "c-"+key, key, left, "gold")
	if answer.Err == nil || answer.After > 500*time.Millisecond {
		return answer
	}
	run.Log("client %d: the close crossed the request, which is sent once more", number)
	again, err := run.Connect(fmt.Sprint(number), address)
	if err != nil {
		return harness.Answer{Err: err}
	}
	return again.Post("/renewal/"+key, "d-"+key, key, left, "gold")
}

// judge checks the answers.
func judge(run *harness.Run, workers []*harness.Worker, states map[string]string, answers []harness.Answer) {
	ran := map[string]int{}
	for _, worker := range workers {
		for _, job := range worker.Runs() {
			ran[job.Key]++
		}
	}
	for number, answer := range answers {
		key := fmt.Sprintf("after-%d", number)
		seen := fmt.Sprintf("%s: answer %d, state %q, ran %d times", key, answer.Status, states[key], ran[key])
		switch {
		case ran[key] > 1:
			run.Broken("%s: ran twice", seen)
		case answer.Err != nil:
			run.Broken("%s: read, and closed without an answer %.2f s after it was sent", seen, answer.After.Seconds())
		case answer.Status == 202 && states[key] == "":
			run.Broken("%s: answered as stored, and is not stored", seen)
		default:
			run.Log("%s: in order", seen)
		}
	}
}
