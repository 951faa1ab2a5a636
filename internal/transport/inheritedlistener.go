package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// ListenerFromDescriptor returns the TCP listener that a descriptor of this
// process refers to. Closing it leaves the socket to the other processes that
// have it.
func ListenerFromDescriptor(descriptor int) (net.Listener, error) {
	file := os.NewFile(uintptr(descriptor), "inherited listener")
	if file == nil {
		return nil, errors.New("no descriptor")
	}
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, errors.New("not a listener for TCP")
	}
	return &inheritedListener{tcp}, nil
}

// inheritedListener is a listener whose socket other processes have too. They
// share its file status flags with us, O_NONBLOCK among them, and whoever starts
// a process may clear that: accept(2) then blocks in the kernel, and a close
// waits for it without end.
type inheritedListener struct{ *net.TCPListener }

// Accept sets O_NONBLOCK before it accepts, so that Close can interrupt it.
func (l *inheritedListener) Accept() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close returns at once, also where an accept blocks all the same. A connection
// that this one still accepts is served.
func (l *inheritedListener) Close() error {
	go l.TCPListener.Close()
	return nil
}
