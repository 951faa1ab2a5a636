package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// faktoryTimeout is how long a client of the Faktory protocol waits for a reply. It is longer than the time for which a disk
// fails in a run.
const faktoryTimeout = 30 * time.Second

// faktoryConn is a Faktory connection of a producer or a worker. After a method has returned an error, it can no longer be
// used.
type faktoryConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialFaktory connects to a Faktory front end and sends HELLO: as a worker with the given wid, or as a producer if wid is
// empty.
func dialFaktory(address, wid string) (*faktoryConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &faktoryConn{conn: conn, reader: bufio.NewReader(conn)}
	hello := `HELLO {"v":2}`
	if wid != "" {
		hello = fmt.Sprintf(`HELLO {"v":2,"wid":%q,"labels":["born_ms:1","fences:1"]}`, wid)
	}
	_, err = c.readReply()
	if err == nil {
		_, err = c.do(hello)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// acceptsFaktory reports whether the Faktory front end at an address accepts connections.
func acceptsFaktory(address string) bool {
	conn, err := dialFaktory(address, "")
	if err != nil {
		return false
	}
	conn.close()
	return true
}

// do sends a command and returns its reply.
func (c *faktoryConn) do(command string) (string, error) {
	if _, err := io.WriteString(c.conn, command+"\r\n"); err != nil {
		return "", err
	}
	return c.readReply()
}

// readReply reads a reply and returns its line, or its text if it is a bulk string.
func (c *faktoryConn) readReply() (string, error) {
	c.conn.SetReadDeadline(time.Now().Add(faktoryTimeout))
	line, err := c.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	length, isBulk := strings.CutPrefix(line, "$")
	size, sizeErr := strconv.Atoi(length)
	if err != nil || !isBulk || sizeErr != nil || size < 0 {
		return line, err
	}
	text := make([]byte, size+len("\r\n"))
	_, err = io.ReadFull(c.reader, text)
	return string(text[:size]), err
}

func (c *faktoryConn) close() { c.conn.Close() }

// fetchedJob has the fields of a fetched job that a worker uses.
type fetchedJob struct {
	Jid    string
	Custom struct{ Fence uint64 }
}

// report returns the argument of a command that reports on the job, with the fence of its lease.
func (j *fetchedJob) report() string {
	return fmt.Sprintf(`{"jid":%q,"fence":%d}`, j.Jid, j.Custom.Fence)
}

// fetch fetches a job of a queue. found is false if the queue has none.
func (c *faktoryConn) fetch(queue string) (job fetchedJob, found bool, err error) {
	reply, err := c.do("FETCH " + queue)
	if err != nil {
		return job, false, err
	}
	found = json.Unmarshal([]byte(reply), &job) == nil && job.Jid != ""
	return job, found, nil
}
