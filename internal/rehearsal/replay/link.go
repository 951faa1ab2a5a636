package replay

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// This file owns one connection to the dispatcher, by either protocol: one
// entry at a time is out on it. It parses answers by the standard library, not
// by the code of the front that it tests.

type link struct {
	r    *replay
	conn net.Conn
	in   *bufio.Reader
	out  []byte
	shot atomic.Pointer[shot] // nil: idle
	last atomic.Pointer[shot] // the one answered last here
	dead atomic.Bool          // it has ended; set before shot is taken for the last time
	kept bool                 // an answer has come on it
}

func newLink(r *replay, conn net.Conn) *link {
	return &link{r: r, conn: conn, in: bufio.NewReaderSize(conn, 4096)}
}

var filler = bytes.Repeat([]byte("x"), mostBody)

// fire writes an entry. Its answer is read by the connection's reader.
func (l *link) fire(s *shot) {
	body := filler[:min(s.BodyBytes, mostBody)]
	out := l.out[:0]
	if l.r.Faktory {
		text, _ := json.Marshal(map[string]any{ // strings and numbers always marshal
			"jid": s.id, "queue": s.class, "jobtype": s.class, "args": []string{string(body)},
			"custom": map[string]any{"key": strings.TrimPrefix(s.path, "/"+s.class+"/"), "time_left_ms": s.Timeout.Milliseconds(),
				"effort_us": s.Effort.Microseconds(), "slots": s.Slots}})
		out = append(append(append(out, "PUSH "...), text...), "\r\n"...)
	} else {
		out = fmt.Appendf(out, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
			"X-Weight-Hint: %d\r\nContent-Length: %d\r\n", s.path, l.r.To, s.id, s.Timeout.Milliseconds(), s.Effort.Microseconds(), len(body))
		if s.Slots != 1 {
			out = append(strconv.AppendFloat(append(out, "X-Facts: slots="...), s.Slots, 'g', -1, 64), "\r\n"...)
		}
		out = append(append(out, "\r\n"...), body...)
	}
	l.out = out
	l.conn.SetReadDeadline(time.Now().Add(s.Timeout + slack))
	if !s.again {
		s.sent = time.Since(l.r.start)
	}
	l.shot.Store(s)
	if l.dead.Load() { // it ended since it was taken from the idle ones
		if l.shot.CompareAndSwap(s, nil) {
			l.resend(s)
		}
		return
	}
	l.conn.Write(out) // where it fails, the reader is told too
}

// read takes answers until the connection ends.
func (l *link) read() {
	defer l.conn.Close()
	for {
		_, err := l.in.Peek(1)
		if err != nil {
			l.ended(err, false)
			return
		}
		verdict, why, last, err := l.answer()
		if err != nil {
			l.ended(err, true)
			return
		}
		s := l.shot.Swap(nil)
		if s == nil { // a second answer, to the entry answered last here
			l.r.mu.Lock()
			if was := l.last.Load(); was != nil {
				was.tally.Twice++
			} else {
				l.r.result.Stray++
			}
			l.r.mu.Unlock()
			continue
		}
		l.last.Store(s)
		l.conn.SetReadDeadline(time.Time{})
		l.kept = true
		l.r.over(s, verdict, why)
		if last {
			l.conn.SetReadDeadline(time.Now().Add(settle)) // a second answer would still be seen
			continue
		}
		l.r.rest(l)
	}
}

// ended books what an ended connection means. If it crossed an entry on a kept
// connection, with nothing answered, the entry is sent once more, as clients do.
func (l *link) ended(err error, partial bool) {
	l.dead.Store(true)
	l.r.forget(l)
	s := l.shot.Swap(nil)
	if s == nil {
		return
	}
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	if l.kept && !s.again && !partial && !timeout {
		l.resend(s)
		return
	}
	switch {
	case timeout:
		l.r.over(s, Lost, "lost: no answer in time")
	case partial:
		l.r.over(s, Lost, "lost: an answer that cannot be read")
	default:
		l.r.over(s, Lost, "lost: the connection ended")
	}
}

// resend sends an entry once more on a new connection, without waiting for it.
func (l *link) resend(s *shot) {
	s.again = true
	l.r.mu.Lock()
	s.tally.Resent++
	l.r.mu.Unlock()
	go l.r.open(s)
}

// answer reads one answer; last: the dispatcher ends the connection behind it.
func (l *link) answer() (v Verdict, why string, last bool, err error) {
	if l.r.Faktory {
		line, err := l.line()
		switch {
		case err != nil:
			return 0, "", false, err
		case strings.HasPrefix(line, "+OK"):
			return Served, "", false, nil
		case strings.HasPrefix(line, "-ERR REFUSED"):
			return Refused, plain(line[5:]), false, nil
		}
		return Failed, plain(line), false, nil
	}
	answer, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return 0, "", false, err
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	answer.Body.Close()
	if err != nil {
		return 0, "", false, err
	}
	switch answer.StatusCode {
	case http.StatusOK:
		v = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		v, why = Refused, fmt.Sprintf("%d %s", answer.StatusCode, plain(string(text)))
	default:
		v, why = Failed, fmt.Sprintf("%d %s", answer.StatusCode, plain(string(text)))
	}
	return v, why, answer.Close, nil
}

// plain takes figures out of a text, so that like reasons are counted together.
func plain(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	var out strings.Builder
	digits := false
	for _, c := range text {
		if c >= '0' && c <= '9' || digits && c == '.' {
			if !digits {
				out.WriteByte('N')
			}
			digits = true
			continue
		}
		digits = false
		out.WriteRune(c)
	}
	return out.String()
}

// line reads one line of the Faktory protocol; bulk strings come as their text.
func (l *link) line() (string, error) {
	raw, err := l.in.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line := strings.TrimRight(string(raw), "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n > 1<<20 {
		return "", errGreeting
	}
	if n < 0 {
		return "", nil
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(l.in, text)
	return string(text[:n]), err
}

// greet logs in as a producer.
func (l *link) greet(password string) error {
	line, err := l.line()
	if err != nil {
		return err
	}
	var hi struct {
		V          int    `json:"v"`
		Salt       string `json:"s"`
		Iterations int    `json:"i"`
	}
	text, ok := strings.CutPrefix(line, "+HI ")
	if !ok || json.Unmarshal([]byte(text), &hi) != nil || hi.V != 2 || hi.Iterations > 100_000 {
		return errGreeting
	}
	hello := map[string]any{"hostname": "rehearsal", "v": 2}
	if hi.Salt != "" {
		sum := sha256.Sum256([]byte(password + hi.Salt))
		for range max(hi.Iterations, 1) - 1 {
			sum = sha256.Sum256(sum[:])
		}
		hello["pwdhash"] = hex.EncodeToString(sum[:])
	}
	raw, _ := json.Marshal(hello) // strings and numbers always marshal
	if _, err := fmt.Fprintf(l.conn, "HELLO %s\r\n", raw); err != nil {
		return err
	}
	if line, err = l.line(); err == nil && !strings.HasPrefix(line, "+OK") {
		err = errors.New(plain(line))
	}
	return err
}
