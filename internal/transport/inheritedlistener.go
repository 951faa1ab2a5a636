package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// ListenerFromDescriptor returns the TCP listener to which a descriptor of this process
// refers. When the listener is closed, other processes that have the socket can still
// use it.
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

// inheritedListener is a listener whose socket is shared with other processes, and with
// it the file status flags such as O_NONBLOCK. Another process may clear that flag:
// accept(2) then blocks in the kernel, and closing the listener would wait for accept(2)
// forever.
type inheritedListener struct{ *net.TCPListener }

// Accept sets O_NONBLOCK before it accepts a connection, so that Close can interrupt it.
func (l *inheritedListener) Accept() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}

// Close returns at once, even if an Accept blocks in spite of O_NONBLOCK being set. A
// connection that this Accept still returns is served.
func (l *inheritedListener) Close() error {
	go l.TCPListener.Close()
	return nil
}
