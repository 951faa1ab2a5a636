package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// writeDurableConfig writes the files of a dispatcher with a durable queue; lease is in
// seconds.
func writeDurableConfig(t *testing.T, dir string, lease float64) {
	t.Helper()
	for name, text := range map[string]string{
		"config.json": `{"admin_addr":"127.0.0.1:0","settings":` + strings.ReplaceAll(settingsText, "CONN_IDLE", "1000000") + `}`,
		"faktory.toml": fmt.Sprintf("listen = \"127.0.0.1:0\"\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = %g\ngrace_s = %g\nbackoff_s = 0.01\n",
			filepath.Join(dir, "jobs.db"), lease, lease),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// startDurable starts a dispatcher, and writes its addresses to files for its clients.
func startDurable(t *testing.T, program, dir string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(program, "serve", "--config", filepath.Join(dir, "config.json"), "--faktory", filepath.Join(dir, "faktory.toml"))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines, text := bufio.NewScanner(log), ""
	for lines.Scan() {
		text += lines.Text() + "\n"
		if _, addr, ok := strings.Cut(lines.Text(), "faktory: listening on "); ok {
			addr, _, _ = strings.Cut(addr, `"`)
			os.WriteFile(filepath.Join(dir, "addr.new"), []byte(addr), 0o600)
			os.Rename(filepath.Join(dir, "addr.new"), filepath.Join(dir, "addr"))
		}
		if _, adminAddress, ok := strings.Cut(lines.Text(), "admin API at "); ok { // the last line of the start
			adminAddress, _, _ = strings.Cut(adminAddress, `"`)
			os.WriteFile(filepath.Join(dir, "admin"), []byte(adminAddress), 0o600)
			go func() {
				for lines.Scan() {
				}
			}()
			return cmd
		}
	}
	t.Fatalf("the dispatcher did not start: %s", text)
	return nil
}

// A renewal with an idempotency key: the same key gets the first run's result, after a
// restart too; one that ran when the dispatcher was killed is in doubt until an
// operator resolves it, and is never run again for a client.
func TestIdempotencyKey(t *testing.T) {
	d := &testDaemon{t: t}
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	b := d.addWorker("s-1", respondWhenReleased("idem:slow-1", arrived, release))
	defer close(release)
	path := filepath.Join(t.TempDir(), "faktory.toml")
	store := filepath.Join(t.TempDir(), "jobs.db")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = \"127.0.0.1:0\"\n[durable]\npath = %q\nqueues = [\"renewal\"]\nlease_s = 0.4\ngrace_s = 0.4\n", store)), 0o600)
	d.start("-faktory", path)
	ask := func(key, body string, left int) (int, string) {
		t.Helper()
		r, _ := http.NewRequest("POST", "http://"+d.listen+"/renewal/member-7?plan=gold", strings.NewReader(body))
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("c-%x", key))
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Time-Left-Ms", fmt.Sprint(left))
		answer, err := d.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, string(text)
	}
	want := func(key, body string, status int, words string) {
		t.Helper()
		if got, text := ask(key, body, 8000); got != status || !strings.Contains(text, words) {
			t.Fatalf("%s: %d %q, want %d %q", key, got, text, status, words)
		}
	}
	runs := func(id string) (n int) {
		for _, got := range b.requests() {
			if strings.HasPrefix(got, id+" ") {
				n++
			}
		}
		return n
	}
	want("k-1", "gold", 200, "made for idem:k-1")
	want("k-1", "gold", 200, "made for idem:k-1")
	want("k-1", "silver", 422, "another request")
	want("a b", "gold", 400, "Idempotency-Key")
	// One request's deadline passes while the next on its connection waits: that one goes on waiting.
	b.setRespond(respondWhenReleased("idem:timer-1", arrived, release))
	if got, _ := ask("k-1", "gold", 300); got != 200 {
		t.Errorf("sent again: %d", got)
	}
	status := make(chan int, 1)
	go func() {
		got, _ := ask("timer-1", "gold", 8000)
		status <- got
	}()
	<-arrived
	time.Sleep(400 * time.Millisecond)
	release <- struct{}{}
	if got := <-status; got != 200 {
		t.Errorf("it waited until its own deadline: %d", got)
	}
	b.setRespond(respondWhenReleased("idem:slow-1", arrived, release))
	go func() {
		got, _ := ask("slow-1", "gold", 300)
		status <- got
	}()
	<-arrived
	if got := <-status; got != 202 {
		t.Errorf("not over in time: %d", got)
	}
	d.cmd.Process.Kill()
	d.cmd.Wait()
	d.launch("-faktory", path)
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if r, err := http.Get("http://" + d.listen + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("not ready again")
		}
	}
	want("k-1", "gold", 200, "made for idem:k-1")
	want("slow-1", "gold", 409, "in doubt")
	want("slow-1", "gold", 409, "in doubt")
	if runs("idem:k-1") != 1 || runs("idem:slow-1") != 1 {
		t.Errorf("ran: %q", b.requests())
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	var out bytes.Buffer
	if err := command([]string{"jobs", "--store", store, "settle", "idem:slow-1", "--ran", "--reason", "the till shows it"}, os.Getenv, &out, &out); err != nil {
		t.Error(err)
	}
}

// A process with durable queues is replaced while jobs run: its successor has the
// address, the store and the leases, workers reconnect with the jobs that they hold,
// and a request with an idempotency key is never run by both.
func TestDurableJobsAreHandedOver(t *testing.T) {
	d := newDaemonWithAdmin(t, newPlatformListener(t))
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	slow := respondWhenReleased("idem:slow-2", arrived, release)
	b := d.addWorker("s-1", func(id string, conn net.Conn) bool {
		if id == "idem:slow-2" {
			return slow(id, conn)
		}
		io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") // the others are Faktory's
		return true
	})
	addr := unusedAddress(t)
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "addr"), []byte(addr), 0o600)
	path := filepath.Join(dir, "faktory.toml")
	os.WriteFile(path, []byte(fmt.Sprintf("listen = %q\n[durable]\npath = %q\nqueues = [\"renewal\", \"status-check\"]\nlease_s = 20\n", addr, filepath.Join(dir, "jobs.db"))), 0o600)
	d.env = append(d.env, "HOLLYYOKE_FAKTORY="+path)
	d.start()
	client := func(wid string) (c *faktoryClient) {
		t.Helper()
		var err error
		d.waitUntil("a session", func() bool {
			hello := map[string]any{"labels": []string{"born_ms:1"}}
			if wid != "" {
				hello["wid"] = wid
			}
			c, err = dialFaktory(dir, hello)
			return err == nil
		})
		return c
	}
	do := func(c *faktoryClient, command, want string) {
		t.Helper()
		if got, err := c.do(command); err != nil || !strings.HasPrefix(got, want) {
			t.Fatalf("%s: %q, %v; want %q", command, got, err, want)
		}
	}
	fresh := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(key string) int {
		r, _ := http.NewRequest("POST", "http://"+d.listen+"/renewal/m?x=y", strings.NewReader("x"))
		r.Header.Set("X-Correlation-Id", fmt.Sprint("c-", time.Now().UnixNano()))
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Time-Left-Ms", "200")
		answer, err := fresh.Do(r)
		if err != nil {
			return 0
		}
		defer answer.Body.Close()
		io.Copy(io.Discard, answer.Body)
		return answer.StatusCode
	}
	if got := ask("slow-2"); got != 202 {
		t.Fatalf("not over in time: %d", got)
	}
	<-arrived
	p := client("")
	do(p, `PUSH {"jid":"moved-001","queue":"renewal","jobtype":"renewal","args":[1]}`, "+OK")
	// The job may go to a worker of either protocol: the HTTP worker rejects it, the Faktory worker holds it.
	worker, leased, holds := client("w1"), false, ""
	for i := 2; !leased && i < 60; i++ {
		do(p, fmt.Sprintf(`PUSH {"jid":"moved-%03d","queue":"renewal","jobtype":"renewal","args":[1]}`, i), "+OK")
		got, err := worker.do("FETCH renewal")
		if err != nil {
			t.Fatal(err)
		}
		if leased = strings.Contains(got, "moved-"); leased {
			_, got, _ = strings.Cut(got, `"jid":"`)
			holds = got[:9]
		}
	}
	if !leased {
		t.Fatal("the worker got nothing")
	}
	do(p, `PUSH {"jid":"later-009","queue":"renewal","jobtype":"renewal","args":[1],"at":"2999-01-01T00:00:00Z"}`, "+OK")
	successor := d.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	if got, _ := p.do("TRACK GET " + holds); !strings.Contains(got, "working") {
		t.Errorf("the predecessor still has it: %q", got)
	}
	sums := map[int]int{}
	asked := 0
	for end := time.Now().Add(testTimeout); (sums[202] == 0 || sums[503] == 0) && time.Now().Before(end); asked++ { // both processes get some
		sums[ask("slow-2")]++
	}
	if sums[202] == 0 || sums[503] == 0 || sums[202]+sums[503] != asked {
		t.Errorf("beside each other: %v", sums)
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	successor.waitForLog("durable jobs taken over")
	if code := d.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	p, worker = client(""), client("w1")
	do(p, "TRACK GET "+holds, `{"jid":"`+holds+`","state":"working"`)
	do(worker, `ACK {"jid":"`+holds+`"}`, "+OK")
	do(p, "TRACK GET "+holds, `{"jid":"`+holds+`","state":"success"`)
	do(p, "TRACK GET later-009", `{"jid":"later-009","state":"scheduled"`)
	do(p, `PUSH {"jid":"`+holds+`","queue":"renewal","jobtype":"renewal","args":[1]}`, "+OK")
	if got := ask("slow-2"); got != 202 {
		t.Errorf("the request that is still held: %d", got)
	}
	n := 0
	for _, got := range b.requests() {
		if strings.HasPrefix(got, "idem:slow-2 ") {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the request ran %d times", n)
	}
	if _, text := successor.callAdmin("GET", "/control/jobs?state=scheduled"); !strings.Contains(text, "later-009") {
		t.Errorf("the successor's admin API: %s", text)
	}
}
