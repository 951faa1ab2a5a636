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

// faktoryTimeout is how long a client of the Faktory protocol waits for a reply. It is longer than a disk fails.
const faktoryTimeout = 30 * time.Second

// faktoryConn is a connection of a producer or a worker. An error means that it is lost.
type faktoryConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialFaktory connects and says HELLO, with a wid unless it is empty.
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

// acceptsFaktory reports whether a dispatcher accepts producers and workers.
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

// readReply returns a line, or the text of a bulk string.
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

// fetchedJob is a job as a worker fetches it.
type fetchedJob struct {
	Jid    string
	Custom struct{ Fence uint64 }
}

// report is the argument of a report under the job's lease.
func (j *fetchedJob) report() string {
	return fmt.Sprintf(`{"jid":%q,"fence":%d}`, j.Jid, j.Custom.Fence)
}

// fetch fetches a job; found is false if there is none.
func (c *faktoryConn) fetch() (job fetchedJob, found bool, err error) {
	reply, err := c.do("FETCH " + classRenewal)
	if err != nil {
		return job, false, err
	}
	found = json.Unmarshal([]byte(reply), &job) == nil && job.Jid != ""
	return job, found, nil
}
