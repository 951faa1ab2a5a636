package standin

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file owns the proof that every worker behind the dispatcher is a
// stand-in of this run. A worker signs a nonce together with both ends of the
// connection as it sees them, so that a proxy which passes a challenge on is
// found out: its ends are others. Nothing is proven by default, and what once
// failed is not proven again in the same run.

const (
	challengePath = "/standin/challenge"
	challengeTimeout = 2 * time.Second
	nonceBytes    = 16
)

// signature is what a worker answers: a MAC of the nonce, its name and both ends.
func signature(secret []byte, nonce, name, local, remote string) string {
	m := hmac.New(sha256.New, secret)
	for _, part := range []string{"hollyyoke stand-in", nonce, name, local, remote} {
		fmt.Fprintf(m, "%d:%s,", len(part), part)
	}
	return hex.EncodeToString(m.Sum(nil))
}

func answerChallenge(out http.ResponseWriter, in *http.Request, secret []byte, name string) {
	local, _ := in.Context().Value(http.LocalAddrContextKey).(net.Addr)
	nonce := in.URL.Query().Get("nonce")
	if local == nil || len(nonce) != 2*nonceBytes {
		http.Error(out, "no nonce", http.StatusBadRequest)
		return
	}
	fmt.Fprintf(out, "%s\n%s\n", name, signature(secret, nonce, name, local.String(), in.RemoteAddr))
}

// Challenge asks what listens at an address to prove that it is the stand-in of
// that name, run with that secret, and that nothing stands in between.
func Challenge(ctx context.Context, addr, name string, secret []byte) error {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: %s is no loopback address", name, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, challengeTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	var raw [nonceBytes]byte
	rand.Read(raw[:])
	nonce := hex.EncodeToString(raw[:])
	fmt.Fprintf(c, "GET %s?nonce=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", challengePath, nonce, addr)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("%s: no answer to the challenge: %w", name, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 4096))
	if err != nil || answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: no answer to the challenge", name)
	}
	lines := strings.Split(string(text), "\n")
	want := signature(secret, nonce, name, c.RemoteAddr().String(), c.LocalAddr().String())
	if len(lines) < 2 || lines[0] != name || !hmac.Equal([]byte(lines[1]), []byte(want)) {
		return fmt.Errorf("%s: what answers at %s is not this run's stand-in, or something stands in between", name, addr)
	}
	return nil
}

// Gate says whether jobs that must never reach a real payment path may be sent.
// The zero value is closed.
type Gate struct {
	open   atomic.Bool
	mu     sync.Mutex
	failed error
}

// IsOpen tells whether everything behind the dispatcher is proven at this moment.
func (g *Gate) IsOpen() bool { return g.open.Load() }

// Failure is what closed the gate for good; nil: nothing has.
func (g *Gate) Failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

// Close closes the gate until it is proven again.
func (g *Gate) Close() { g.open.Store(false) }

// CloseForGood closes the gate for the rest of the run.
func (g *Gate) CloseForGood(why error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed == nil {
		g.failed = why
	}
	g.open.Store(false)
}

var errNoWorkers = errors.New("no worker is listed")

// Verify challenges every listed worker at the address that the dispatcher is
// told, and opens the gate if all answer; else it fails the gate.
func (g *Gate) Verify(ctx context.Context, listed []Host, secret []byte) error {
	if g.Failure() != nil {
		return g.Failure()
	}
	errs := make(chan error, len(listed))
	asked := 0
	for _, h := range listed {
		if h.Health != "gone" {
			asked++
			go func() { errs <- Challenge(ctx, h.Dial, h.Host, secret) }()
		}
	}
	if asked == 0 {
		g.CloseForGood(errNoWorkers)
		return errNoWorkers
	}
	var first error
	for range asked {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		g.CloseForGood(first)
		return first
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed == nil {
		g.open.Store(true)
	}
	return g.failed
}
