package faktory

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// kept runs one life of a front that keeps renewals and status-checks in a file.
func kept(t *testing.T, file, more string, life func(addr string)) {
	t.Helper()
	t.Run("", func(t *testing.T) {
		addr, _ := front(t, serverOnly+"[durable]\npath = \""+file+"\"\nqueues = [\"renewal\", \"status-check\"]\n"+more, func(s *decision.Settings) {
			for i := range s.Classes {
				s.Classes[i].Deadline = 2 * time.Second
			}
		})
		life(addr)
	})
}

type leased struct {
	Jid    string
	Args   json.RawMessage
	Custom struct{ Fence uint64 }
}

func (p *peer) lease(queues string) (l leased) {
	p.t.Helper()
	got := p.fetch(queues)
	if err := json.Unmarshal([]byte(got), &l); err != nil || l.Custom.Fence == 0 {
		p.t.Fatalf("fetched %q", got)
	}
	return l
}

func (p *peer) want(command, want string) {
	p.t.Helper()
	if got := p.do(command); !strings.HasPrefix(got, want) || want == "+OK" && got != want {
		p.t.Fatalf("%.60s: %q, want %q", command, got, want)
	}
}

func state(p *peer, jid string) string {
	var got struct{ State string }
	json.Unmarshal([]byte(p.do("TRACK GET "+jid)), &got)
	return got.State
}

func (p *peer) until(jid, want string) {
	p.t.Helper()
	for end := time.Now().Add(patience); state(p, jid) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s is %q, and not %q in time", jid, state(p, jid), want)
		}
	}
}

// A job is taken on before it runs, outlives the process, and is run once, whatever its producer and its worker say again.
func TestDurableOutlivesTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	var first leased
	kept(t, file, "", func(addr string) {
		p := dial(t, addr, hello{})
		p.want(job("keep-00001", "renewal", ""), "+OK")
		p.want(job("keep-00001", "renewal", ""), "+OK")
		p.want(job("keep-00002", "renewal", ""), "+OK")
		p.want(strings.Replace(job("keep-00002", "renewal", ""), "[1]", "[2]", 1), "-ERR NOTUNIQUE")
		w := dial(t, addr, hello{Wid: "w1", Labels: []string{"fences:1"}})
		first = w.lease("renewal")
		if first.Jid != "keep-00001" || string(first.Args) != "[1]" {
			t.Fatalf("leased %+v", first)
		}
		w.want(fmt.Sprintf(`START {"jid":"keep-00001","fence":%d}`, first.Custom.Fence), "+OK")
		w.want(fmt.Sprintf(`START {"jid":"keep-00001","fence":%d}`, first.Custom.Fence+1), "-ERR VOID")
	})
	kept(t, file, "", func(addr string) {
		p := dial(t, addr, hello{})
		p.want(job("keep-00001", "renewal", ""), "+OK")
		if state(p, "keep-00001") != "working" || state(p, "keep-00002") != "enqueued" {
			t.Fatalf("after a restart: %s, %s", state(p, "keep-00001"), state(p, "keep-00002"))
		}
		w2 := dial(t, addr, hello{Wid: "w2"})
		if l := w2.lease("renewal"); l.Jid != "keep-00002" || l.Custom.Fence <= first.Custom.Fence {
			t.Fatalf("leased %+v after %+v", l, first)
		}
		w2.want(`ACK {"jid":"keep-00001"}`, "-ERR VOID") // it is w1's
		w2.want(`ACK {"jid":"keep-00002"}`, "+OK")
		w2.want(`ACK {"jid":"keep-00002"}`, "+OK")
		w1 := dial(t, addr, hello{Wid: "w1"})
		w1.want(`ACK {"jid":"keep-00001"}`, "+OK")
		if state(p, "keep-00001") != "success" || state(p, "keep-00002") != "success" {
			t.Errorf("at last: %s, %s", state(p, "keep-00001"), state(p, "keep-00002"))
		}
	})
	kept(t, file, "", func(addr string) {
		p, w := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"})
		p.want(job("keep-00001", "renewal", ""), "+OK")
		if got := w.do("FETCH renewal"); got != "$-1" {
			t.Errorf("run again: %q", got)
		}
	})
}

// A worker goes with a renewal and a status-check. The one goes to an operator, the other to the next worker; the
// renewal of a worker that honours fences and had not begun goes to the next too, and the first one's start is not granted.
func TestDurableLeaseRunsOut(t *testing.T) {
	kept(t, filepath.Join(t.TempDir(), "jobs.db"), "lease_s = 0.3\nbackoff_s = 0.01\n", func(addr string) {
		p, w1, w2 := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"}), dial(t, addr, hello{Wid: "w2", Labels: []string{"fences:1"}})
		for _, class := range []string{"renewal", "status-check"} {
			p.want(job("lost-"+class, class, ""), "+OK")
			if l := w1.lease(class); l.Jid != "lost-"+class {
				t.Fatalf("leased %+v", l)
			}
		}
		p.want(job("slow-00001", "renewal", `"effort_us":1`), "+OK")
		old := w2.lease("renewal")
		p.until("lost-renewal", "in doubt")
		again := w1.lease("status-check")
		if again.Jid != "lost-status-check" {
			t.Fatalf("leased %+v", again)
		}
		w1.want(`ACK {"jid":"lost-status-check"}`, "+OK")
		now := w1.lease("renewal")
		if now.Jid != "slow-00001" || now.Custom.Fence <= old.Custom.Fence {
			t.Fatalf("leased %+v after %+v", now, old)
		}
		w2.want(fmt.Sprintf(`START {"jid":"slow-00001","fence":%d}`, old.Custom.Fence), "-ERR VOID")
		w2.want(fmt.Sprintf(`ACK {"jid":"slow-00001","fence":%d}`, old.Custom.Fence), "-ERR VOID")
		for range 5 { // its beats keep the lease
			time.Sleep(100 * time.Millisecond)
			w1.want(`BEAT {"wid":"w1"}`, "+OK")
		}
		w1.want(`ACK {"jid":"slow-00001"}`, "+OK")
		w1.want(`ACK {"jid":"lost-renewal"}`, "+OK") // late, and proof
		p.until("lost-renewal", "success")
	})
}

// What the protocol's other commands do, and that each is refused where it cannot be.
func TestDurableCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	kept(t, file, "backoff_s = 0.05\nattempts = 2\n", func(addr string) {
		p, w := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"})
		// FETCH's order of queues holds, not the order of PUSHes.
		p.want(job("order-check", "status-check", ""), "+OK")
		p.want(job("order-renewal", "renewal", ""), "+OK")
		for _, jid := range []string{"order-renewal", "order-check"} {
			if l := w.lease("renewal status-check"); l.Jid != jid {
				t.Fatalf("leased %s, not %s", l.Jid, jid)
			}
			w.want(`ACK {"jid":"`+jid+`"}`, "+OK")
		}
		// Repeats are bounded, by the job's own word too; what has run and must not again is dead.
		p.want(job("fails-twice", "status-check", ""), "+OK")
		for range 2 {
			if l := w.lease("status-check"); l.Jid != "fails-twice" {
				t.Fatalf("leased %+v", l)
			}
			w.want(`FAIL {"jid":"fails-twice","errtype":"Broken","message":"no till"}`, "+OK")
		}
		p.until("fails-twice", "dead")
		p.want(strings.Replace(job("fails-once", "status-check", ""), `"args"`, `"retry":-1,"args"`, 1), "+OK")
		w.lease("status-check")
		w.want(`FAIL {"jid":"fails-once"}`, "+OK")
		p.until("fails-once", "discarded")
		p.want(job("fails-paid", "renewal", ""), "+OK")
		w.lease("renewal")
		w.want(`FAIL {"jid":"fails-paid","started":false}`, "+OK") // it never began
		w.lease("renewal")
		w.want(`FAIL {"jid":"fails-paid"}`, "+OK")
		p.until("fails-paid", "dead")
		p.want(`MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["fails-paid"]}}`, "-ERR REFUSED")
		p.want(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*no such thing*"}}`, "+OK")
		p.until("fails-twice", "dead")
		p.want(`MUTATE {"cmd":"requeue","target":"dead","filter":{"regexp":"*fails-tw*"}}`, "+OK")
		if l := w.lease("status-check"); l.Jid != "fails-twice" {
			t.Fatalf("leased %+v", l)
		}
		w.want(`TRACK SET {"jid":"fails-twice","percent":40,"desc":"at the till"}`, "+OK")
		if got := p.do("TRACK GET fails-twice"); !strings.Contains(got, `"percent":40`) || !strings.Contains(got, `"working"`) {
			t.Errorf("TRACK: %s", got)
		}
		w.want(`ACK {"jid":"fails-twice"}`, "+OK")
		// For later, and by many.
		soon := time.Now().Add(300 * time.Millisecond)
		later := func(jid string, at time.Time) string {
			return strings.TrimPrefix(strings.Replace(job(jid, "renewal", ""), `"args"`, `"at":"`+at.Format(time.RFC3339Nano)+`","args"`, 1), "PUSH ")
		}
		p.want("PUSHB ["+later("bulk-00001", soon)+","+later("bulk-00002", soon.Add(time.Hour))+`,{"jid":"x"}]`, `{"[2]":"jid:`)
		if l := w.lease("renewal"); l.Jid != "bulk-00001" || time.Now().Before(soon) {
			t.Fatalf("leased %+v, %s early", l, time.Until(soon))
		}
		w.want(`ACK {"jid":"bulk-00001"}`, "+OK")
		p.want(`MUTATE {"cmd":"kill","target":"scheduled","filter":{"jobtype":"x"}}`, "+OK")
		p.until("bulk-00002", "dead")
		// Paused queues hand nothing out, over a restart too.
		p.want("QUEUE PAUSE renewal", "+OK")
		p.want(job("held-00001", "renewal", ""), "+OK")
		for command, want := range map[string]string{
			"QUEUE PAUSE":  "-ERR MALFORMED",
			"QUEUE STOP *": "-ERR MALFORMED", "QUEUE PAUSE nothing": "-ERR UNKNOWN", "MUTATE x": "-ERR MALFORMED",
			`MUTATE {"cmd":"kill","target":"ready"}`: "-ERR MALFORMED", "FLUSH": "-ERR REFUSED", "TRACK x": "-ERR MALFORMED", `TRACK SET {"jid":"x"}`: "-ERR UNKNOWN",
			"TRACK GET nobodys": `{"jid":"nobodys","state":"unknown"`, "START x": "-ERR MALFORMED", `START {"jid":"nobodys"}`: "-ERR VOID", "PUSHB x": "-ERR MALFORMED",
		} {
			p.want(command, want)
		}
	})
	kept(t, file, "flush = true\n", func(addr string) {
		p, w := dial(t, addr, hello{}), dial(t, addr, hello{Wid: "w1"})
		if got := w.do("FETCH renewal"); got != "$-1" {
			t.Errorf("paused, and handed out: %q", got)
		}
		info := p.do("INFO")
		for _, want := range []string{`"paused":["renewal"]`, `"renewal":1`, `"Dead":{"size":2}`, `"Done":{"size":4}`, `"total_enqueued":1`} {
			if !strings.Contains(info, want) {
				t.Errorf("INFO lacks %s: %s", want, info)
			}
		}
		p.want("QUEUE RESUME *", "+OK")
		if l := w.lease("renewal"); l.Jid != "held-00001" {
			t.Fatalf("leased %+v", l)
		}
		p.want(job("held-00002", "renewal", ""), "+OK")
		p.want("QUEUE REMOVE renewal", "+OK")
		if state(p, "held-00002") != "discarded" || state(p, "held-00001") != "working" {
			t.Errorf("removed: %s, %s", state(p, "held-00002"), state(p, "held-00001"))
		}
		p.want("FLUSH", "+OK")
		if state(p, "fails-paid") != "discarded" || state(p, "held-00001") != "working" {
			t.Errorf("flushed: %s, %s", state(p, "fails-paid"), state(p, "held-00001"))
		}
	})
}

// A table that makes no sense stops the start, by the key that is wrong.
func TestDurableTable(t *testing.T) {
	s := decision.Settings{Classes: []decision.Class{{Name: "renewal"}}}
	for _, test := range []struct {
		c    Durable
		want string
	}{
		{Durable{Queues: []string{"renewal"}}, "durable.path"},
		{Durable{Path: "x", Queues: []string{"y"}}, "durable.queues[0]"},
		{Durable{Path: "x", LeaseS: -1}, "durable.lease_s"},
		{Durable{Path: "x", Queues: []string{"renewal"}}, ""},
	} {
		c := Default()
		c.Listen, c.Durable = "127.0.0.1:0", test.c
		err := c.Check(&s)
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.HasPrefix(err.Error(), test.want)) {
			t.Errorf("%+v: %v", test.c, err)
		}
		if c.Listen, c.Source.Address = "", "127.0.0.1:1"; test.want == "" && c.Check(&s) == nil {
			t.Error("durable without the server role")
		}
	}
}
