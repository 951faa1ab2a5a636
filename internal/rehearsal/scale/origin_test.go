package scale

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// host returns a worker as the origin lists it.
func host(name, health string) standin.Host {
	return standin.Host{Host: name, Dial: "127.0.0.1:1", Health: health, Share: 1}
}

// startTestOrigin starts an origin, which is closed when the test ends, and returns the URL of its endpoint list.
func startTestOrigin(t *testing.T, maxVersions int) (started *origin, url string) {
	t.Helper()
	started, addr, err := startOrigin(maxVersions)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.close)
	return started, "http://" + addr + "/v1/servers"
}

// get sends a GET request to an origin.
func get(t *testing.T, url string) *http.Response {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func getListUpdate(t *testing.T, url string) (list listUpdate) {
	t.Helper()
	if err := json.NewDecoder(get(t, url).Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list
}

// A poll gets the workers that changed since its version, or the complete list if the log no longer has all of these
// versions.
func TestOriginAnswersFromItsLog(t *testing.T) {
	started, url := startTestOrigin(t, 3)
	started.change([]standin.Host{host("a", standin.HealthReady), host("b", standin.HealthReady)})
	started.change([]standin.Host{host("a", standin.HealthDraining)})
	started.change([]standin.Host{host("b", standin.HealthGone)})
	started.change([]standin.Host{host("a", standin.HealthReady)})
	if list := getListUpdate(t, url); !list.Complete || list.Version != 4 || len(list.Hosts) != 1 {
		t.Errorf("poll without a version: %+v, want the complete list of 1 worker, version 4", list)
	}
	if list := getListUpdate(t, url+"?after=2"); list.Complete || len(list.Hosts) != 2 || list.Hosts[0].Health != standin.HealthReady {
		t.Errorf("poll after version 2: %+v, want a delta of 2 workers, the one that changed last first", list)
	}
	if list := getListUpdate(t, url+"?after=4"); list.Complete || len(list.Hosts) != 0 || list.Version != 4 {
		t.Errorf("poll after version 4: %+v, want an empty delta of version 4", list)
	}
	started.change([]standin.Host{host("c", standin.HealthReady)})
	if list := getListUpdate(t, url+"?after=1"); !list.Complete || list.Version != 5 {
		t.Errorf("poll after a version that the log no longer has: %+v, want the complete list of version 5", list)
	}
	if status := get(t, url+"?after=9").StatusCode; status != http.StatusServiceUnavailable {
		t.Errorf("poll after a version that was never published: status %d, want 503", status)
	}
}

// A watch gets each version later than its own, one by one.
func TestOriginWatch(t *testing.T) {
	started, url := startTestOrigin(t, 10)
	started.change([]standin.Host{host("a", standin.HealthReady)})
	started.change([]standin.Host{host("b", standin.HealthReady)})
	lines := bufio.NewScanner(get(t, url+"?watch=1&after=1").Body)
	if list := nextListUpdate(t, lines); list.Version != 2 || list.Complete || list.Hosts[0].Host != "b" {
		t.Errorf("%+v, want the change of version 2", list)
	}
	started.change([]standin.Host{host("c", standin.HealthReady)})
	if list := nextListUpdate(t, lines); list.Version != 3 || list.Hosts[0].Host != "c" {
		t.Errorf("%+v, want the change of version 3", list)
	}
}

// nextListUpdate reads the next line of a watch, and skips heartbeats.
func nextListUpdate(t *testing.T, lines *bufio.Scanner) (list listUpdate) {
	t.Helper()
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		return list
	}
	t.Fatalf("the watch has ended: %v", lines.Err())
	return listUpdate{}
}
