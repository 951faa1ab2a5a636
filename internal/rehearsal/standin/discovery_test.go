package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// startDiscovery starts a service that lists the workers a and b, and stops it when the test ends.
func startDiscovery(t *testing.T, beforeChange func()) *Discovery {
	t.Helper()
	service, err := StartDiscovery(beforeChange)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { service.Close() })
	service.Set(
		Host{Host: "a", Dial: "127.0.0.1:1", Health: HealthReady},
		Host{Host: "b", Dial: "127.0.0.1:2", Health: HealthReady},
	)
	return service
}

// request sends a request with the given query to a service.
func request(t *testing.T, service *Discovery, query string) *http.Response {
	t.Helper()
	answer, err := http.Get("http://" + service.Addr + "/v1/servers" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

// watchLines reads the lines that a watch receives.
type watchLines struct{ *bufio.Scanner }

// startWatch starts a watch of a service for the changes after version 1.
func startWatch(t *testing.T, service *Discovery) watchLines {
	t.Helper()
	return watchLines{bufio.NewScanner(request(t, service, "?watch=1&after=1").Body)}
}

// next returns the next listing and skips the heartbeats before it.
func (w watchLines) next(t *testing.T) (list listing) {
	t.Helper()
	for w.Scan() {
		if len(bytes.TrimSpace(w.Bytes())) == 0 {
			continue
		}
		if err := json.Unmarshal(w.Bytes(), &list); err != nil {
			t.Fatalf("%s: %v", w.Bytes(), err)
		}
		return list
	}
	t.Fatal("the watch has ended")
	return listing{}
}

// A call that is not a watch receives all workers.
func TestDiscoveryLists(t *testing.T) {
	service := startDiscovery(t, nil)
	var list listing
	if err := json.NewDecoder(request(t, service, "").Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	if !list.Complete || list.Version != 1 || len(list.Hosts) != 2 || list.Hosts[0].Share != 1 {
		t.Errorf("%+v, want a complete list of 2 workers, version 1, with shares of 1", list)
	}
}

// A watch receives each change, and beforeChange is called for each change.
func TestDiscoveryWatch(t *testing.T) {
	notifications := 0
	service := startDiscovery(t, func() { notifications++ })
	watch := startWatch(t, service)
	if list := watch.next(t); list.Complete || len(list.Hosts) != 0 {
		t.Errorf("first line: %+v, want no change", list)
	}
	service.Set(Host{Host: "a", Health: HealthGone}, Host{Host: "c", Dial: "127.0.0.1:3", Health: HealthDraining})
	if list := watch.next(t); list.Version != 2 || list.Complete || len(list.Hosts) != 2 {
		t.Errorf("a change: %+v, want 2 workers in version 2", list)
	}
	if hosts := service.List(); len(hosts) != 2 || hosts[0].Host != "b" || notifications != 2 {
		t.Errorf("%+v, %d notifications, want b and c, and 2", hosts, notifications)
	}
	service.Set(Host{Host: "a", Dial: "127.0.0.1:9", Health: HealthReady})
	if list := watch.next(t); len(list.Hosts) != 1 || list.Hosts[0].Dial != "127.0.0.1:9" {
		t.Errorf("back again: %+v, want one worker at its new address", list)
	}
}

// Calls are handled one at a time, and one that waits too long gets 503.
func TestDiscoveryHandlesOneCallAtATime(t *testing.T) {
	service := startDiscovery(t, nil)
	service.callSlot <- struct{}{}
	service.maxCallWait = 20 * time.Millisecond
	if status := request(t, service, "").StatusCode; status != http.StatusServiceUnavailable {
		t.Errorf("busy: status %d, want 503", status)
	}
}

// While the service is down, calls fail and watches end.
func TestDiscoveryIsDown(t *testing.T) {
	service := startDiscovery(t, nil)
	watch := startWatch(t, service)
	watch.next(t)
	service.SetDown(true)
	if watch.Scan() && len(watch.Bytes()) > 0 {
		t.Errorf("a watch continues while discovery is down: %q", watch.Text())
	}
	if status := request(t, service, "").StatusCode; status != http.StatusServiceUnavailable {
		t.Errorf("down: status %d, want 503", status)
	}
}
