package scale

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

func host(name, health string) standin.Host {
	return standin.Host{Host: name, Dial: "127.0.0.1:1", Health: health, Share: 1}
}

func getListing(t *testing.T, url string) (l listing) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&l); err != nil {
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
	if l := getListing(t, base); !l.Complete || l.Version != 4 || len(l.Hosts) != 1 {
		t.Errorf("%+v", l)
	}
	if l := getListing(t, base+"?after=2"); l.Complete || len(l.Hosts) != 2 || l.Hosts[0].Health != "ready" {
		t.Errorf("delta: %+v", l)
	}
	if l := getListing(t, base+"?after=4"); l.Complete || len(l.Hosts) != 0 || l.Version != 4 {
		t.Errorf("nothing new: %+v", l)
	}
	o.change([]standin.Host{host("c", "ready")})
	if l := getListing(t, base+"?after=1"); !l.Complete || l.Version != 5 {
		t.Errorf("beyond the log: %+v", l)
	}
	response, err := http.Get(base + "?after=9")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a version that was never made: %d", response.StatusCode)
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
	response, err := http.Get("http://" + addr + "/v1/servers?watch=1&after=1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
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
	if l := next(); l.Version != 2 || l.Complete || l.Hosts[0].Host != "b" {
		t.Errorf("%+v", l)
	}
	o.change([]standin.Host{host("c", "ready")})
	if l := next(); l.Version != 3 || l.Hosts[0].Host != "c" {
		t.Errorf("%+v", l)
	}
}
