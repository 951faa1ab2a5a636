package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// measurementInterval is the pause between two measurements of lateness. Lateness up to this length can go unmeasured.
	measurementInterval = 20 * time.Millisecond

	// loopProbeTimeout limits a measurement. It is longer than any time for which a dispatcher is stopped.
	loopProbeTimeout = 20 * time.Second

	// acceptMeasurementInterval is the pause between two health checks of a traced dispatcher.
	acceptMeasurementInterval = 50 * time.Millisecond
)

// latenessLog holds successive measurements of lateness. It is safe for concurrent use. The zero value is an empty log.
type latenessLog struct {
	mutex   sync.Mutex
	samples []interval // each from the time when an event was due to the time when it happened
}

// add records when an event was due and when it happened.
func (l *latenessLog) add(due, happened time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.samples = append(l.samples, interval{from: due, to: happened})
}

// largestBetween returns the largest lateness of the events whose time from due to happened overlaps the time between from
// and to.
func (l *latenessLog) largestBetween(from, to time.Time) (largest time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first, _ := slices.BinarySearchFunc(l.samples, from, func(sample interval, at time.Time) int { return sample.to.Compare(at) })
	for _, sample := range l.samples[first:] {
		if sample.from.After(to) {
			break
		}
		largest = max(largest, sample.to.Sub(sample.from))
	}
	return largest
}

// largest returns the largest lateness of all events.
func (l *latenessLog) largest() (largest time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, sample := range l.samples {
		largest = max(largest, sample.to.Sub(sample.from))
	}
	return largest
}

// measureTimers measures how late the timers of this process fire, until stop is closed. All stand-ins use these timers.
func (r *run) measureTimers(stop <-chan struct{}) {
	for {
		due := time.Now().Add(measurementInterval)
		select {
		case <-stop:
			return
		case <-time.After(measurementInterval):
		}
		r.timerLateness.add(due, time.Now())
	}
}

// measureLoop measures how long the event loop of a dispatcher takes to answer a request to the admin API, until stop is
// closed. It measures nothing while the dispatcher has no process.
func (d *daemon) measureLoop(stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", d.adminAddress(), dialTimeout)
		if err == nil {
			d.measureLoopOver(conn, stop)
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(measurementInterval):
		}
	}
}

// measureLoopOver measures the event loop over one connection until the connection breaks or stop is closed.
func (d *daemon) measureLoopOver(conn net.Conn, stop <-chan struct{}) {
	input := bufio.NewReader(conn)
	for {
		asked := time.Now()
		conn.SetDeadline(asked.Add(loopProbeTimeout))
		fmt.Fprint(conn, "GET /control/invariants HTTP/1.1\r\nHost: d\r\n\r\n")
		answer, err := http.ReadResponse(input, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		d.loopLateness.add(asked, time.Now())
		if err != nil || answer.Close {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(measurementInterval):
		}
	}
}

// measureAccept measures how long a traced dispatcher takes to answer a health check on a new connection, until stop is
// closed. A traced process is slow to accept and to read connections, which measureLoop does not show.
func (d *daemon) measureAccept(stop <-chan struct{}) {
	client := newHTTPClient(loopProbeTimeout)
	for {
		asked := time.Now()
		answer, err := client.Get("http://" + d.address + "/healthz")
		if err == nil {
			answer.Body.Close()
			d.acceptLateness.add(asked, time.Now())
		}
		select {
		case <-stop:
			return
		case <-time.After(acceptMeasurementInterval):
		}
	}
}

// latenessBetween returns by how much a limit for a dispatcher may be exceeded between two times: the lateness of the
// stand-ins and of the dispatcher that was measured then, and the lateness that can go unmeasured.
func (r *run) latenessBetween(target *daemon, from, to time.Time) time.Duration {
	dispatcher := max(target.loopLateness.largestBetween(from, to), target.acceptLateness.largestBetween(from, to))
	return r.timerLateness.largestBetween(from, to) + dispatcher + measurementInterval
}
