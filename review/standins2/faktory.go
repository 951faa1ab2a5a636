//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// faktoryConn is a connection to the Faktory front end, of a producer or of a worker.
type faktoryConn struct {
	conn  net.Conn
	input *bufio.Reader
}

// dialFaktory connects and says HELLO. A producer has no wid.
func dialFaktory(address, wid string, labels ...string) (*faktoryConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &faktoryConn{conn: conn, input: bufio.NewReader(conn)}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	greeting, err := c.readReply()
	if err == nil && !strings.HasPrefix(greeting, "HI ") {
		err = errors.New("unexpected greeting " + greeting)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	hello := map[string]any{"v": 2, "hostname": "standin", "pid": 1, "labels": append([]string{"standin"}, labels...)}
	if wid != "" {
		hello["wid"] = wid
	}
	text, _ := json.Marshal(hello)
	reply, err := c.do("HELLO "+string(text), 5*time.Second)
	if err == nil && reply != "OK" {
		err = errors.New("HELLO: " + reply)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// do sends a command and reads its reply.
func (c *faktoryConn) do(command string, timeout time.Duration) (string, error) {
	if _, err := io.WriteString(c.conn, command+"\r\n"); err != nil {
		return "", err
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	return c.readReply()
}

// readReply reads a simple string, an error (which begins with ERR) or a bulk string.
func (c *faktoryConn) readReply() (string, error) {
	line, err := c.input.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", errors.New("empty reply")
	}
	switch line[0] {
	case '+', '-':
		return line[1:], nil
	case '$':
		length, err := strconv.Atoi(line[1:])
		if err != nil || length > 1<<20 {
			return "", errors.New("unexpected length " + line)
		}
		if length < 0 {
			return "", nil
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(c.input, text); err != nil {
			return "", err
		}
		return string(text[:length]), nil
	}
	return "", fmt.Errorf("unexpected reply %q", line)
}
