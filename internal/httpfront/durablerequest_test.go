package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// slowStoreFrontEnd is a front end whose durable requests wait for a disk that the test controls.
type slowStoreFrontEnd struct {
	*testkit.Rig
	*FrontEnd
	t       *testing.T
	addr    string
	service *durable.Service
	writes  chan error // each write waits for its result from here, until the channel is closed
}

func startSlowStoreFrontEnd(t *testing.T) *slowStoreFrontEnd {
	t.Helper()
	rig := testkit.NewRig(t)
	frontEnd := &slowStoreFrontEnd{Rig: rig, t: t, writes: make(chan error)}
	config := durable.Config{
		Path:  filepath.Join(t.TempDir(), "jobs.db"),
		Store: store.Options{InjectWriteError: func() error { return <-frontEnd.writes }},
	}
	service, err := durable.Open(rig.Dispatcher.Loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	service.OnRunnable = func(jobs.Job) {}
	frontEnd.service = service
	rig.Do(func() {
		service.Start()
		frontEnd.FrontEnd = New(rig.Dispatcher, rig.Engine, ampleMemory, alwaysReady)
		frontEnd.SetDurable(service, []bool{testkit.StatusCheck: false, testkit.Renewal: true})
		frontEnd.addr, err = frontEnd.Listen("127.0.0.1:0", 20)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		close(frontEnd.writes)
		rig.Do(func() { service.CloseNow() })
	})
	return frontEnd
}

// send sends a renewal whose client waits for timeLeft, and returns a channel for the response, which is nil if the
// connection is closed without one.
func (f *slowStoreFrontEnd) send(key string, timeLeft time.Duration) chan *http.Response {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	fmt.Fprintf(conn, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: 4\r\n\r\nhold", key, key, timeLeft.Milliseconds())
	responses := make(chan *http.Response, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			responses <- nil
			return
		}
		io.Copy(io.Discard, response.Body)
		responses <- response
	}()
	return responses
}

// checkUnanswered checks that there is no response yet.
func checkUnanswered(t *testing.T, when string, responses chan *http.Response) {
	t.Helper()
	select {
	case response := <-responses:
		t.Fatalf("answered %s: %v", when, response)
	default:
	}
}

// checkResponse waits for a response and checks its status. Each response here tells when to ask again.
func checkResponse(t *testing.T, responses chan *http.Response, status int) {
	t.Helper()
	response := testkit.Receive(t, responses)
	if response == nil || response.StatusCode != status || response.Header.Get("Retry-After") == "" {
		t.Errorf("the response is %v, want status %d and a Retry-After", response, status)
	}
}

// shortTime is the time left of clients whose time is over before a slow disk has their job.
const shortTime = 30 * time.Millisecond

// A client whose time is over must not be told that its job is stored before the disk has it: if the process dies then,
// or the write fails, the job was promised and is lost.
func TestAcceptedResponseWaitsForStore(t *testing.T) {
	t.Run("stored late", func(t *testing.T) {
		frontEnd := startSlowStoreFrontEnd(t)
		responses := frontEnd.send("key", shortTime)
		time.Sleep(3 * shortTime)
		checkUnanswered(t, "before the disk has the job", responses)
		frontEnd.writes <- nil
		checkResponse(t, responses, http.StatusAccepted)
	})
	t.Run("failed late", func(t *testing.T) {
		frontEnd := startSlowStoreFrontEnd(t)
		responses := frontEnd.send("key", shortTime)
		time.Sleep(3 * shortTime)
		checkUnanswered(t, "before the write has failed", responses)
		frontEnd.writes <- syscall.ENOSPC
		checkResponse(t, responses, http.StatusServiceUnavailable)
	})
	t.Run("stored in time", func(t *testing.T) {
		frontEnd := startSlowStoreFrontEnd(t)
		sentAt := time.Now()
		responses := frontEnd.send("key", 10*shortTime)
		frontEnd.writes <- nil
		checkResponse(t, responses, http.StatusAccepted)
		if waited := time.Since(sentAt); waited < 10*shortTime-2*durableResponseMargin {
			t.Errorf("a client with %v left was answered after %v", 10*shortTime, waited)
		}
	})
	t.Run("never confirmed", func(t *testing.T) {
		frontEnd := startSlowStoreFrontEnd(t)
		sentAt := time.Now()
		checkResponse(t, frontEnd.send("key", shortTime), http.StatusBadGateway)
		if waited := time.Since(sentAt); waited < shortTime+confirmationGrace || waited > shortTime+500*time.Millisecond {
			t.Errorf("a client with %v left was answered after %v", shortTime, waited)
		}
	})
}

// The store is given up while a client's job is on its way to a slow disk, and the client has seconds left. It is told
// that the job is stored once it is, or, when the process must end, that this is not known. Later requests on open
// connections are rejected at once.
func TestCloseOfSlowStoreAnswersRequests(t *testing.T) {
	for _, test := range []struct {
		name     string
		confirms bool
		status   int
	}{
		{"confirmed", true, http.StatusAccepted},
		{"never confirmed", false, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			frontEnd := startSlowStoreFrontEnd(t)
			open := frontEnd.send("open", 8*time.Second)
			frontEnd.awaitDurableRequests(1)
			const answerAfter = 200 * time.Millisecond
			frontEnd.Do(func() {
				loop := frontEnd.Dispatcher.Loop
				frontEnd.service.Close(loop.Now()+answerAfter, func(error) {})
			})
			checkResponse(t, frontEnd.send("later", 8*time.Second), http.StatusServiceUnavailable)
			checkUnanswered(t, "before the disk has the job", open)
			if test.confirms {
				frontEnd.writes <- nil
			}
			checkResponse(t, open, test.status)
		})
	}
}

// awaitDurableRequests waits until durable requests are pending on so many connections.
func (f *slowStoreFrontEnd) awaitDurableRequests(want int) {
	f.t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); ; time.Sleep(time.Millisecond) {
		pending := 0
		f.Do(func() {
			f.connections.ForEach(func(_ uint64, c *clientConnection) {
				if c.response.durable != nil {
					pending++
				}
			})
		})
		if pending == want {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%d durable requests are pending, want %d", pending, want)
		}
	}
}
