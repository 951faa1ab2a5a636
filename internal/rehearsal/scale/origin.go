package scale

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns the origin: a discovery that lists tens of thousands of workers
// to thousands of watches. Each version is worded once for all of them. It must
// never tell an older version after a newer one.

// listing is one object on the wire.
type listing struct {
	Seq   int64          `json:"seq"`
	Whole bool           `json:"whole"`
	Hosts []standin.Host `json:"hosts"`
}

func (l *listing) line() []byte {
	text, _ := json.Marshal(l) // strings and numbers always marshal
	return append(text, '\n')
}

// version is one change that has been made.
type version struct {
	line  []byte
	hosts []standin.Host
}

// origin is a running one.
type origin struct {
	server *http.Server
	most   int // versions in the log

	mu       sync.Mutex
	seq      int64
	hosts    []standin.Host // in the order of their first listing; gone ones stay, to keep their place
	at       map[string]int
	log      []version // the latest, up to seq
	snapshot []byte    // nil: to be worded anew
	told     chan struct{}
}

const signOfLife = 2 * time.Second

func startOrigin(mostLog int) (*origin, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	o := &origin{most: mostLog, at: map[string]int{}, told: make(chan struct{})}
	o.server = &http.Server{Handler: o}
	go o.server.Serve(ln)
	return o, ln.Addr().String(), nil
}

func (o *origin) close() { o.server.Close() }

// change makes one version of changed hosts.
func (o *origin) change(hosts []standin.Host) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seq++
	for _, host := range hosts {
		i, ok := o.at[host.Host]
		if !ok {
			i = len(o.hosts)
			o.at[host.Host] = i
			o.hosts = append(o.hosts, host)
		}
		o.hosts[i] = host
	}
	l := listing{Seq: o.seq, Hosts: hosts}
	o.log = append(o.log, version{line: l.line(), hosts: hosts})
	if more := len(o.log) - o.most; more > 0 {
		o.log = o.log[more:]
	}
	o.snapshot = nil
	close(o.told)
	o.told = make(chan struct{})
	return o.seq
}

// whole is the snapshot. The lock is held.
func (o *origin) whole() []byte {
	if o.snapshot != nil {
		return o.snapshot
	}
	l := listing{Seq: o.seq, Whole: true, Hosts: []standin.Host{}}
	for _, host := range o.hosts {
		if host.Health != "gone" {
			l.Hosts = append(l.Hosts, host)
		}
	}
	o.snapshot = l.line()
	return o.snapshot
}

// reaches tells whether the log holds all versions after one.
func (o *origin) reaches(after int64) bool {
	return after > 0 && after >= o.seq-int64(len(o.log)) && after <= o.seq
}

// since is what a watch that has a version is told next, a line for each version.
func (o *origin) since(after int64) (text []byte, seq int64, told chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.reaches(after) {
		return o.whole(), o.seq, o.told
	}
	for _, v := range o.log[len(o.log)-int(o.seq-after):] {
		text = append(text, v.line...)
	}
	return text, o.seq, o.told
}

// delta is what a plain call that has a version is told: each changed host once.
func (o *origin) delta(after int64) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.reaches(after) {
		return o.whole()
	}
	l := listing{Seq: o.seq, Hosts: []standin.Host{}}
	seen := map[string]bool{}
	missed := o.log[len(o.log)-int(o.seq-after):]
	for i := len(missed) - 1; i >= 0; i-- {
		for _, host := range missed[i].hosts {
			if !seen[host.Host] {
				seen[host.Host] = true
				l.Hosts = append(l.Hosts, host)
			}
		}
	}
	return l.line()
}

func (o *origin) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/v1/servers" || in.Method != http.MethodGet {
		http.NotFound(out, in)
		return
	}
	query := in.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // none: all
	out.Header().Set("Content-Type", "application/json")
	switch {
	case query.Get("watch") == "1":
		o.watch(out, in, after)
	case after > o.version():
		http.Error(out, "behind", http.StatusServiceUnavailable)
	default:
		o.answer(out, in, after)
	}
}

func (o *origin) version() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seq
}

// answer answers a plain call, compressed if the caller takes that.
func (o *origin) answer(out http.ResponseWriter, in *http.Request, after int64) {
	text := o.delta(after)
	if strings.Contains(in.Header.Get("Accept-Encoding"), "gzip") {
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		w.Write(text)
		w.Close()
		text = packed.Bytes()
		out.Header().Set("Content-Encoding", "gzip")
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	out.Write(text)
}

func (o *origin) watch(out http.ResponseWriter, in *http.Request, after int64) {
	flush := out.(http.Flusher).Flush
	life := time.NewTicker(signOfLife)
	defer life.Stop()
	for first := true; ; first = false {
		text, seq, told := o.since(after)
		if first && len(text) == 0 {
			text = []byte("\n") // nothing has changed: the line shows that the call has come
		}
		if len(text) > 0 {
			out.Write(text)
			flush()
			after = seq
		}
		select {
		case <-told:
		case <-life.C:
			out.Write([]byte("\n"))
			flush()
		case <-in.Context().Done():
			return
		}
	}
}
