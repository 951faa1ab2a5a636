//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Faktory is a producer's connection to the Faktory front end.
type Faktory struct {
	conn   net.Conn
	reader *bufio.Reader
}

// DialFaktory connects a producer.
func DialFaktory(address string) (*Faktory, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	producer := &Faktory{conn: conn, reader: bufio.NewReader(conn)}
	if _, err := producer.line(); err != nil {
		return nil, err
	}
	reply, err := producer.Do(`HELLO {"v":2}`)
	if err == nil && reply != "+OK" {
		err = fmt.Errorf("HELLO: %s", reply)
	}
	return producer, err
}

// Do sends a command and returns the line of its reply.
func (f *Faktory) Do(command string) (string, error) {
	if _, err := io.WriteString(f.conn, command+"\r\n"); err != nil {
		return "", err
	}
	return f.line()
}

// Close closes the connection.
func (f *Faktory) Close() { f.conn.Close() }

func (f *Faktory) line() (string, error) {
	f.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := f.reader.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err
}
