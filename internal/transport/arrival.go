package transport

import (
	"syscall"
	"time"
	"unsafe"
)

// maxArrivals is the maximum number of arrivals that a buffer distinguishes. It bounds the memory for a peer that sends
// in many small pieces.
const maxArrivals = 8

// arrival is the time at which the kernel had received a piece of a buffer's contents.
type arrival struct {
	end int           // the piece ends before this index of the contents; it begins at the end of the piece before it
	at  time.Duration // clock time
}

// ArrivedAt returns the clock time at which the kernel had received the piece that the contents begin with, or an earlier
// one. It returns 0 if the time is not known.
func (b *Buffer) ArrivedAt() time.Duration {
	if len(b.arrivals) == 0 {
		return 0
	}
	return b.arrivals[0].at
}

// recordArrival records that the bytes up to end, as far as they have no arrival yet, arrived at the given time. If
// there are too many arrivals, they get the time of the bytes before them.
func (b *Buffer) recordArrival(end int, at time.Duration) {
	last := len(b.arrivals) - 1
	if last >= 0 && (last == maxArrivals-1 || b.arrivals[last].at == at) {
		b.arrivals[last].end = end
		return
	}
	b.arrivals = append(b.arrivals, arrival{end: end, at: at})
}

// addArrivals records the arrivals of the first n bytes of other, which have been copied to the end of b.
func (b *Buffer) addArrivals(other *Buffer, n int) {
	begin := b.length - n
	for _, piece := range other.arrivals {
		b.recordArrival(begin+min(piece.end, n), piece.at)
		if piece.end >= n {
			return
		}
	}
}

// consumeArrivals removes the first n bytes from the arrivals.
func (b *Buffer) consumeArrivals(n int) {
	rest := b.arrivals[:0]
	for _, piece := range b.arrivals {
		if piece.end > n {
			rest = append(rest, arrival{end: piece.end - n, at: piece.at})
		}
	}
	b.arrivals = rest
}

// Offset and size in bytes of the field tcpi_last_data_recv of struct tcp_info, see linux/tcp.h. The first fields of
// the struct have not changed since Linux 2.4.
const (
	lastDataReceivedOffset = 52
	lastDataReceivedEnd    = 56
)

// timeSinceData returns how long ago a socket received its latest data. known is false if the kernel does not tell.
func timeSinceData(fd int) (since time.Duration, known bool) {
	var info [lastDataReceivedEnd]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size < lastDataReceivedEnd {
		return 0, false
	}
	milliseconds := *(*uint32)(unsafe.Pointer(&info[lastDataReceivedOffset]))
	return time.Duration(milliseconds) * time.Millisecond, true
}

// arrivalOfInput returns the clock time at which the socket received its latest data, which is the present time if the
// kernel does not tell. It is asked for after the data was read: before, it could be the time of earlier data.
func (c *Conn) arrivalOfInput() time.Duration {
	now := c.engine.Loop.Now()
	since := time.Duration(0)
	c.withDescriptor(func(fd int) { since, _ = timeSinceData(fd) })
	return now - since
}
