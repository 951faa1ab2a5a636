package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// faktoryClient is a client of the Faktory protocol. Every error means that the
// connection is lost.
type faktoryClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *faktoryClient) readReply() (string, error) {
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	line, err := c.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	n, bulk := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || line == "" || line[0] != '$' || bulk != nil || n < 0 {
		return line, err
	}
	text := make([]byte, n+2)
	_, err = io.ReadFull(c.reader, text)
	return string(text[:n]), err
}

func (c *faktoryClient) do(command string) (string, error) {
	if _, err := c.conn.Write([]byte(command + "\r\n")); err != nil {
		return "", err
	}
	return c.readReply()
}

func dialFaktory(dir string, hello map[string]any) (*faktoryClient, error) {
	addr, err := os.ReadFile(filepath.Join(dir, "addr"))
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", string(addr), time.Second)
	if err != nil {
		return nil, err
	}
	c := &faktoryClient{conn, bufio.NewReader(conn)}
	if _, err = c.readReply(); err == nil {
		hello["v"] = 2
		raw, _ := json.Marshal(hello)
		_, err = c.do("HELLO " + string(raw))
	}
	if err != nil {
		conn.Close()
	}
	return c, err
}
