package replay

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	faktoryVersion    = 2
	maxHashIterations = 100_000
	maxBulkBytes      = 1 << 20
)

// faktoryJob is the JSON of a job in a PUSH command. Its fields are in the alphabetical order of their keys.
type faktoryJob struct {
	Args    []string      `json:"args"`
	Custom  faktoryCustom `json:"custom"`
	ID      string        `json:"jid"`
	JobType string        `json:"jobtype"`
	Queue   string        `json:"queue"`
}

// faktoryCustom is the "custom" object of a job, which carries the facts about the request.
type faktoryCustom struct {
	EffortUs   int64   `json:"effort_us"`
	Key        string  `json:"key"`
	Slots      float64 `json:"slots"`
	TimeLeftMs int64   `json:"time_left_ms"`
}

// faktoryGreeting is the JSON of the server's HI.
type faktoryGreeting struct {
	Version    int    `json:"v"` // of the protocol
	Salt       string `json:"s"` // empty if no password is needed
	Iterations int    `json:"i"` // of the password's hash
}

// faktoryHello is the JSON of the client's HELLO.
type faktoryHello struct {
	Hostname     string `json:"hostname"`
	PasswordHash string `json:"pwdhash,omitempty"`
	Version      int    `json:"v"`
}

// errProtocol means that the server's data does not follow the Faktory protocol, or follows another
// version of it.
var errProtocol = errors.New("not the Faktory protocol, version 2")

// appendPush appends the request as a PUSH command.
func appendPush(buffer []byte, next *request, body []byte) []byte {
	text, _ := json.Marshal(faktoryJob{ // cannot fail for strings and finite numbers
		Args: []string{string(body)},
		Custom: faktoryCustom{
			EffortUs:   next.Effort.Microseconds(),
			Key:        strings.TrimPrefix(next.path, "/"+next.class+"/"),
			Slots:      next.Slots,
			TimeLeftMs: next.Timeout.Milliseconds(),
		},
		ID:      next.id,
		JobType: next.class,
		Queue:   next.class,
	})
	buffer = append(buffer, "PUSH "...)
	buffer = append(buffer, text...)
	return append(buffer, "\r\n"...)
}

// readFaktoryAnswer reads the answer to a PUSH.
func (c *connection) readFaktoryAnswer() (answer, error) {
	line, err := c.readLine()
	if err != nil {
		return answer{}, err
	}
	if strings.HasPrefix(line, "+OK") {
		return answer{outcome: Served}, nil
	}
	if message, isError := strings.CutPrefix(line, "-ERR "); isError && strings.HasPrefix(message, "REFUSED") {
		return answer{outcome: Rejected, reason: normalizeReason(message)}, nil
	}
	return answer{outcome: Failed, reason: normalizeReason(line)}, nil
}

// readLine reads one line. If that is the length of a bulk string, it reads and returns the string.
func (c *connection) readLine() (string, error) {
	raw, err := c.input.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line := strings.TrimRight(string(raw), "\r\n")
	length, isBulk := strings.CutPrefix(line, "$")
	if !isBulk {
		return line, nil
	}
	textBytes, err := strconv.Atoi(length)
	if err != nil || textBytes > maxBulkBytes {
		return "", errProtocol
	}
	if textBytes < 0 { // the null bulk string
		return "", nil
	}
	text := make([]byte, textBytes+len("\r\n"))
	_, err = io.ReadFull(c.input, text)
	return string(text[:textBytes]), err
}

// handshake answers the server's HI with HELLO, as a producer, and reads the server's answer.
func (c *connection) handshake(password string) error {
	line, err := c.readLine()
	if err != nil {
		return err
	}
	var greeting faktoryGreeting
	text, isGreeting := strings.CutPrefix(line, "+HI ")
	if !isGreeting || json.Unmarshal([]byte(text), &greeting) != nil {
		return errProtocol
	}
	if greeting.Version != faktoryVersion || greeting.Iterations > maxHashIterations {
		return errProtocol
	}
	hello := faktoryHello{Hostname: "rehearsal", Version: faktoryVersion}
	if greeting.Salt != "" {
		hello.PasswordHash = hashPassword(password, greeting)
	}
	raw, _ := json.Marshal(hello) // cannot fail for strings and integers
	if _, err := fmt.Fprintf(c.conn, "HELLO %s\r\n", raw); err != nil {
		return err
	}
	line, err = c.readLine()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(line, "+OK") {
		return errors.New(string(normalizeReason(line)))
	}
	return nil
}

// hashPassword hashes the password as the protocol demands: SHA-256 of the password and the salt, applied
// again to its result until the server's number of iterations is reached.
func hashPassword(password string, greeting faktoryGreeting) string {
	sum := sha256.Sum256([]byte(password + greeting.Salt))
	for range max(greeting.Iterations, 1) - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
