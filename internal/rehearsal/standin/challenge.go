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
	"time"
)

const (
	challengePath    = "/standin/challenge"
	challengeTimeout = 2 * time.Second
	nonceBytes       = 16
	maxAnswerBytes   = 4096
)

var errNoAnswer = errors.New("no answer to the challenge")

// signature returns the MAC by which a worker answers a challenge. It covers the nonce, the
// worker's name and both addresses of the connection as the worker sees them. If a proxy forwards
// the challenge, the addresses differ from those that the challenger sees.
func signature(secret []byte, nonce, name, local, remote string) string {
	mac := hmac.New(sha256.New, secret)
	for _, part := range []string{"hollyyoke stand-in", nonce, name, local, remote} {
		fmt.Fprintf(mac, "%d:%s,", len(part), part)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// answerChallenge answers a challenge for the worker of the given name.
func answerChallenge(out http.ResponseWriter, request *http.Request, secret []byte, name string) {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	nonce := request.URL.Query().Get("nonce")
	if local == nil || len(nonce) != 2*nonceBytes {
		http.Error(out, "no nonce", http.StatusBadRequest)
		return
	}
	fmt.Fprintf(out, "%s\n%s\n", name, signature(secret, nonce, name, local.String(), request.RemoteAddr))
}

// Challenge verifies that addr is a loopback address at which the stand-in worker with the given
// name and secret listens, and that no proxy is between this process and the worker.
func Challenge(ctx context.Context, addr, name string, secret []byte) error {
	host, _, err := net.SplitHostPort(addr)
	hostAddress := net.ParseIP(host)
	if err != nil || hostAddress == nil || !hostAddress.IsLoopback() {
		return fmt.Errorf("%s: %s is no loopback address", name, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, challengeTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	nonce := randomHex(nonceBytes)
	fmt.Fprintf(conn, "GET %s?nonce=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", challengePath, nonce, addr)
	text, err := readChallengeAnswer(conn)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	lines := strings.Split(text, "\n")
	want := signature(secret, nonce, name, conn.RemoteAddr().String(), conn.LocalAddr().String())
	if len(lines) < 2 || lines[0] != name || !hmac.Equal([]byte(lines[1]), []byte(want)) {
		return fmt.Errorf("%s: what answers at %s is not this run's stand-in, or something stands in between", name, addr)
	}
	return nil
}

// readChallengeAnswer reads the body of the answer to a challenge.
func readChallengeAnswer(conn net.Conn) (string, error) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil || answer.StatusCode != http.StatusOK {
		return "", errNoAnswer
	}
	return string(text), nil
}

// randomHex returns random bytes as hexadecimal digits.
func randomHex(bytes int) string {
	raw := make([]byte, bytes)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}
