// Package handover is how a process of the dispatcher and its successor meet: a
// unix socket in a folder that both have, and one JSON object a line on it. It
// owns the words and the link they go over. It must never decide what either
// process does with what it hears, hold up one for the other, nor take a file
// that nobody listens on for a process.
package handover

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Message is one line. What it does not tell is nil or empty.
type Message struct {
	Greeting       *Greeting       `json:"hello,omitempty"`          // the old one's first word
	IDs            string          `json:"names,omitempty"`          // of reqs, hashed: taken, here or lately
	Ready          bool            `json:"ready,omitempty"`          // the new one accepts
	Limits         *Limits         `json:"room,omitempty"`           // what the old one keeps of the limits
	DiscoveryMoved string          `json:"discovery,omitempty"`      // where discovery is now
	List           json.RawMessage `json:"list,omitempty"`           // what discovery has told
	OutOfService   *bool           `json:"out_of_service,omitempty"` // a drain has begun or ended
	Reservation    *Reservation    `json:"charge,omitempty"`         // a cold backend was sent something
	StoreReleased  bool            `json:"kept,omitempty"`           // the old one has let go of the durable jobs
}

// Greeting is what the successor starts from.
type Greeting struct {
	Discovery    string          `json:"discovery"`
	List         json.RawMessage `json:"list"`
	OutOfService bool            `json:"out_of_service"`
	IDKey        []byte          `json:"key"` // of the names
}

// Limits is what a process keeps of the limits for itself.
type Limits struct {
	Descriptors int   `json:"descriptors"`
	Memory      int64 `json:"memory"` // bytes
}

// Reservation is what a fetch takes of a cold backend's budget.
type Reservation struct {
	Worker string  `json:"backend"`
	Amount float64 `json:"amount"`
}

// SocketPath is where the processes of one dispatcher meet, empty without a folder.
// The name tells the dispatchers apart that share one.
func SocketPath(folder, dispatcher string) string {
	if folder == "" {
		return ""
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, dispatcher)
	return filepath.Join(folder, fmt.Sprintf("hollyyoke-%016x.sock", h.Sum64()))
}

// mostPath is the longest path that the system takes for a unix socket.
const mostPath = 100

// short calls f with a path of the same file that the system takes, however
// long the path is.
func short(path string, f func(string) error) error {
	if len(path) <= mostPath {
		return f(path)
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return f("/proc/self/fd/" + strconv.Itoa(int(folder.Fd())) + "/" + filepath.Base(path))
}

// Dial calls the process that listens there. An error says that there is none:
// no file, or one that a process left behind when it died.
func Dial(path string, patience time.Duration) (conn net.Conn, err error) {
	if path == "" {
		return nil, errors.New("no folder to meet in")
	}
	err = short(path, func(p string) error {
		conn, err = net.DialTimeout("unix", p, patience)
		return err
	})
	return conn, err
}

// Listen waits for a successor, in place of whoever listened there before.
func Listen(path string) (ln net.Listener, err error) {
	if path == "" {
		return nil, errors.New("no folder to meet in")
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = short(path, func(p string) error {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: p, Net: "unix"})
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false) // by then the file may be the successor's
		ln = l
		return os.Chmod(p, 0o600)
	})
	return ln, err
}

// Link is the connection between the two processes. It belongs to the loop's goroutine.
type Link struct {
	engine *transport.Engine
	conn   *transport.Conn
	in     *transport.Buffer
	seen   int // bytes of it without a line end
	heard  func(Message)
	lost   func()
	names  []byte // taken since the last word of them
	later  eventloop.Deadline
}

const (
	namesTime = 10 * time.Millisecond // names taken within it are told together
	namesMost = 2000                  // in one line
)

// NewLink returns the owner of a connection between the two. heard gets each
// message, and lost is called once, when the other process has gone.
func NewLink(e *transport.Engine, c *transport.Conn, heard func(Message), lost func()) *Link {
	l := &Link{engine: e, conn: c, heard: heard, lost: lost}
	l.later.Fire = l.tellNames
	return l
}

// Send sends a message. One to a process that has gone is lost.
func (l *Link) Send(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		return // no message holds anything that cannot be worded
	}
	l.conn.Write(append(text, '\n'))
}

// SendAccepted tells the other process of a name, soon.
func (l *Link) SendAccepted(name uint64) {
	if len(l.names) == 0 {
		l.engine.Loop.Set(&l.later, l.engine.Loop.Now()+namesTime)
	}
	l.names = binary.LittleEndian.AppendUint64(l.names, name)
}

func (l *Link) tellNames() {
	for len(l.names) > 0 {
		n := min(len(l.names), 8*namesMost)
		l.Send(Message{IDs: base64.StdEncoding.EncodeToString(l.names[:n])})
		l.names = l.names[n:]
	}
}

// SendIDs tells the other process of many names at once.
func (l *Link) SendIDs(names []uint64) {
	for _, n := range names {
		l.SendAccepted(n)
	}
	l.tellNames()
}

// ReadIDs reads the names of a message.
func (m *Message) ReadIDs() (names []uint64, err error) {
	raw, err := base64.StdEncoding.DecodeString(m.IDs)
	if err != nil || len(raw)%8 != 0 {
		return nil, errors.New("names that cannot be read")
	}
	for ; len(raw) > 0; raw = raw[8:] {
		names = append(names, binary.LittleEndian.Uint64(raw))
	}
	return names, nil
}

// Close ends the link; lost is not called.
func (l *Link) Close() {
	l.drop()
	l.conn.Close()
}

func (l *Link) drop() {
	l.engine.Loop.Clear(&l.later)
	l.engine.Pool.Put(l.in)
	l.in, l.names = nil, nil
	l.heard, l.lost = func(Message) {}, func() {}
}

// OnClosed is told that the other process has gone.
func (l *Link) OnClosed(*transport.Conn, error) {
	lost := l.lost
	l.drop()
	lost()
}

// OnData takes in what the other process said.
func (l *Link) OnData(c *transport.Conn, b *transport.Buffer) {
	if l.in == nil {
		l.in, l.seen = b, 0
	} else {
		fits := l.in.Append(b.Bytes())
		l.engine.Pool.Put(b)
		if !fits {
			l.fail()
			return
		}
	}
	for l.in != nil {
		end := bytes.IndexByte(l.in.Bytes()[l.seen:], '\n')
		if end < 0 {
			if l.seen = len(l.in.Bytes()); l.seen == transport.BufferSize { // no room for its end
				l.fail()
			}
			return
		}
		var m Message
		if json.Unmarshal(l.in.Bytes()[:l.seen+end], &m) != nil {
			l.fail()
			return
		}
		if l.in.Consume(l.seen + end + 1); len(l.in.Bytes()) == 0 {
			l.engine.Pool.Put(l.in)
			l.in = nil
		}
		l.seen = 0
		l.heard(m)
	}
}

// fail gives up a link whose bytes make no sense.
func (l *Link) fail() {
	lost := l.lost
	l.Close()
	lost()
}
