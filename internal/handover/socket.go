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

// ErrNoDirectory is returned if the path of the socket is empty, since no directory is
// configured for it.
var ErrNoDirectory = errors.New("no directory for the handover socket")

// maxSocketPath is the longest path that is passed to the kernel unchanged. Linux allows
// 107 bytes for the path of a unix socket.
const maxSocketPath = 100

// SocketPath returns the path of the handover socket of a dispatcher. dispatcher is a name
// that distinguishes the dispatchers that share the directory. If directory is empty, so is
// the path.
func SocketPath(directory, dispatcher string) string {
	if directory == "" {
		return ""
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, dispatcher)
	return filepath.Join(directory, fmt.Sprintf("hollyyoke-%016x.sock", hash.Sum64()))
}

// withShortPath calls use with a path to the same file that is short enough for a unix
// socket. The path is valid only during the call.
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

// Dial connects to the process that listens at path. It returns an error if no process
// listens: the file does not exist, or was left behind by a process that has ended.
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

// Listen listens for a successor at path, and replaces an existing file. Closing the
// listener does not remove the file, since by then it may be the successor's socket.
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
