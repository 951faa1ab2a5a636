package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// faktoryClient is a client of the Faktory protocol. After any error its connection cannot be
// used any more.
type faktoryClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialFaktory connects to the dispatcher whose address is in a file in dir, and sends HELLO
// with the fields of hello.
func dialFaktory(dir string, hello map[string]any) (*faktoryClient, error) {
	address, err := os.ReadFile(filepath.Join(dir, faktoryAddressFileName))
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", string(address), time.Second)
	if err != nil {
		return nil, err
	}
	client := &faktoryClient{conn, bufio.NewReader(conn)}
	_, err = client.readReply()
	if err == nil {
		hello["v"] = 2
		text, _ := json.Marshal(hello)
		_, err = client.do("HELLO " + string(text))
	}
	if err != nil {
		conn.Close()
	}
	return client, err
}

// faktoryHello returns the fields of a worker's HELLO, or of a producer's if workerID is
// empty.
func faktoryHello(workerID string, labels ...string) map[string]any {
	hello := map[string]any{"labels": append([]string{"born_ms:1"}, labels...)}
	if workerID != "" {
		hello["wid"] = workerID
	}
	return hello
}

// do sends a command and returns its reply.
func (c *faktoryClient) do(command string) (string, error) {
	if _, err := c.conn.Write([]byte(command + "\r\n")); err != nil {
		return "", err
	}
	return c.readReply()
}

// readReply reads a reply, and returns its line or, for a bulk string, its text.
func (c *faktoryClient) readReply() (string, error) {
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	line, err := c.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	size, sizeErr := strconv.Atoi(strings.TrimPrefix(line, "$"))
	isBulk := strings.HasPrefix(line, "$") && sizeErr == nil && size >= 0
	if err != nil || !isBulk {
		return line, err
	}
	text := make([]byte, size+len("\r\n"))
	_, err = io.ReadFull(c.reader, text)
	return string(text[:size]), err
}

// expect sends a command, and fails the test unless the reply begins with a text.
func (c *faktoryClient) expect(t *testing.T, command, reply string) {
	t.Helper()
	got, err := c.do(command)
	if err != nil || !strings.HasPrefix(got, reply) {
		t.Fatalf("%s: %q, %v; want %q", command, got, err, reply)
	}
}

// pushRenewal returns the command that pushes a renewal. fields are additional JSON fields of
// the job, each after a comma.
func pushRenewal(id, arguments, fields string) string {
	return fmt.Sprintf(`PUSH {"jid":%q,"queue":"renewal","jobtype":"renewal","args":%s%s}`, id, arguments, fields)
}
