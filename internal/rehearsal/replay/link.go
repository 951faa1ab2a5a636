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

type connection struct {
	replayer    *replayer
	conn net.Conn
	input   *bufio.Reader
	buffer  []byte
	request atomic.Pointer[request] // nil: idle
	answered atomic.Pointer[request] // the one answered last here
	closed atomic.Bool          // it has ended; set before shot is taken for the last time
	reused bool                 // an answer has come on it
}

func newConnection(r *replayer, conn net.Conn) *connection {
	return &connection{replayer: r, conn: conn, input: bufio.NewReaderSize(conn, 4096)}
}

var filler = bytes.Repeat([]byte("x"), maxBodyBytes)

// send writes an entry. Its answer is read by the connection's reader.
func (l *connection) send(s *request) {
	body := filler[:min(s.BodyBytes, maxBodyBytes)]
	out := l.buffer[:0]
	if l.replayer.Faktory {
		text, _ := json.Marshal(map[string]any{ // strings and numbers always marshal
			"jid": s.id, "queue": s.class, "jobtype": s.class, "args": []string{string(body)},
			"custom": map[string]any{"key": strings.TrimPrefix(s.path, "/"+s.class+"/"), "time_left_ms": s.Timeout.Milliseconds(),
				"effort_us": s.Effort.Microseconds(), "slots": s.Slots}})
		out = append(append(append(out, "PUSH "...), text...), "\r\n"...)
	} else {
		out = fmt.Appendf(out, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
			"X-Weight-Hint: %d\r\nContent-Length: %d\r\n", s.path, l.replayer.Target, s.id, s.Timeout.Milliseconds(), s.Effort.Microseconds(), len(body))
		if s.Slots != 1 {
			out = append(strconv.AppendFloat(append(out, "X-Facts: slots="...), s.Slots, 'g', -1, 64), "\r\n"...)
		}
		out = append(append(out, "\r\n"...), body...)
	}
	l.buffer = out
	l.conn.SetReadDeadline(time.Now().Add(s.Timeout + deadlineSlack))
	if !s.retried {
		s.written = time.Since(l.replayer.start)
	}
	l.request.Store(s)
	if l.closed.Load() { // it ended since it was taken from the idle ones
		if l.request.CompareAndSwap(s, nil) {
			l.retry(s)
		}
		return
	}
	l.conn.Write(out) // where it fails, the reader is told too
}

// readAnswers takes answers until the connection ends.
func (l *connection) readAnswers() {
	defer l.conn.Close()
	for {
		_, err := l.input.Peek(1)
		if err != nil {
			l.connectionEnded(err, false)
			return
		}
		verdict, why, last, err := l.readAnswer()
		if err != nil {
			l.connectionEnded(err, true)
			return
		}
		s := l.request.Swap(nil)
		if s == nil { // a second answer, to the entry answered last here
			l.replayer.mu.Lock()
			if was := l.answered.Load(); was != nil {
				was.tally.DuplicateAnswers++
			} else {
				l.replayer.result.StrayAnswers++
			}
			l.replayer.mu.Unlock()
			continue
		}
		l.answered.Store(s)
		l.conn.SetReadDeadline(time.Time{})
		l.reused = true
		l.replayer.complete(s, verdict, why)
		if last {
			l.conn.SetReadDeadline(time.Now().Add(duplicateWindow)) // a second answer would still be seen
			continue
		}
		l.replayer.release(l)
	}
}

// connectionEnded books what an connectionEnded connection means. If it crossed an entry on a kept
// connection, with nothing answered, the entry is sent once more, as clients do.
func (l *connection) connectionEnded(err error, partial bool) {
	l.closed.Store(true)
	l.replayer.removeIdle(l)
	s := l.request.Swap(nil)
	if s == nil {
		return
	}
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	if l.reused && !s.retried && !partial && !timeout {
		l.retry(s)
		return
	}
	switch {
	case timeout:
		l.replayer.complete(s, Lost, "lost: no answer in time")
	case partial:
		l.replayer.complete(s, Lost, "lost: an answer that cannot be read")
	default:
		l.replayer.complete(s, Lost, "lost: the connection ended")
	}
}

// retry sends an entry once more on a new connection, without waiting for it.
func (l *connection) retry(s *request) {
	s.retried = true
	l.replayer.mu.Lock()
	s.tally.Retried++
	l.replayer.mu.Unlock()
	go l.replayer.sendOnNewConnection(s)
}

// readAnswer reads one readAnswer; last: the dispatcher ends the connection behind it.
func (l *connection) readAnswer() (v Outcome, why string, last bool, err error) {
	if l.replayer.Faktory {
		line, err := l.readLine()
		switch {
		case err != nil:
			return 0, "", false, err
		case strings.HasPrefix(line, "+OK"):
			return Served, "", false, nil
		case strings.HasPrefix(line, "-ERR REFUSED"):
			return Rejected, normalizeReason(line[5:]), false, nil
		}
		return Failed, normalizeReason(line), false, nil
	}
	answer, err := http.ReadResponse(l.input, nil)
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
		v, why = Rejected, fmt.Sprintf("%d %s", answer.StatusCode, normalizeReason(string(text)))
	default:
		v, why = Failed, fmt.Sprintf("%d %s", answer.StatusCode, normalizeReason(string(text)))
	}
	return v, why, answer.Close, nil
}

// normalizeReason takes figures out of a text, so that like reasons are counted together.
func normalizeReason(text string) string {
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

// readLine reads one readLine of the Faktory protocol; bulk strings come as their text.
func (l *connection) readLine() (string, error) {
	raw, err := l.input.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line := strings.TrimRight(string(raw), "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n > 1<<20 {
		return "", errHandshake
	}
	if n < 0 {
		return "", nil
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(l.input, text)
	return string(text[:n]), err
}

// handshake logs in as a producer.
func (l *connection) handshake(password string) error {
	line, err := l.readLine()
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
		return errHandshake
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
	if line, err = l.readLine(); err == nil && !strings.HasPrefix(line, "+OK") {
		err = errors.New(normalizeReason(line))
	}
	return err
}
