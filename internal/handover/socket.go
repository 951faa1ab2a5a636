package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// ErrNoDirectory is returned where there is no directory for the socket.
var ErrNoDirectory = errors.New("no directory for the handover socket")

// maxSocketPath is the longest path used for a unix socket as it is. Linux takes
// 107 bytes.
const maxSocketPath = 100

// SocketPath returns the path of the socket of a dispatcher in a directory; the name
// distinguishes the dispatchers that share the directory. It is empty without a
// directory.
func SocketPath(directory, dispatcher string) string {
	if directory == "" {
		return ""
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, dispatcher)
	return filepath.Join(directory, fmt.Sprintf("hollyyoke-%016x.sock", hash.Sum64()))
}

// withShortPath calls use with a path of the same file that is short enough for a
// unix socket. The path is valid during the call only.
func withShortPath(path string, use func(string) error) error {
	if len(path) <= maxSocketPath {
		return use(path)
	}
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer directory.Close()
	return use("/proc/self/fd/" + strconv.Itoa(int(directory.Fd())) + "/" + filepath.Base(path))
}

// Dial connects to the process that listens at path. It returns an error where there
// is none: no file, or one that a process left behind when it died.
func Dial(path string, timeout time.Duration) (conn net.Conn, err error) {
	if path == "" {
		return nil, ErrNoDirectory
	}
	err = withShortPath(path, func(short string) error {
		conn, err = net.DialTimeout("unix", short, timeout)
		return err
	})
	return conn, err
}

// Listen listens for a successor at path, and replaces a file that is there. The
// file outlives the listener: by then it may be the successor's.
func Listen(path string) (ln net.Listener, err error) {
	if path == "" {
		return nil, ErrNoDirectory
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = withShortPath(path, func(short string) error {
		unixListener, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		if err != nil {
			return err
		}
		unixListener.SetUnlinkOnClose(false)
		ln = unixListener
		return os.Chmod(short, 0o600)
	})
	return ln, err
}
