package gate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The queues of a connection in the kernel.
const (
	// received holds the bytes that have arrived and have not been read.
	received = unix.TIOCINQ
	// sent holds the bytes that were written and have not been acknowledged.
	sent = unix.TIOCOUTQ
)

// queued returns the number of bytes in a queue of a connection, or -1 if that is not known.
func queued(conn net.Conn, queue uint) int {
	withRaw, ok := conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return -1
	}
	count := -1
	err = raw.Control(func(fd uintptr) {
		if value, err := unix.IoctlGetInt(int(fd), queue); err == nil {
			count = value
		}
	})
	if err != nil {
		return -1
	}
	return count
}
