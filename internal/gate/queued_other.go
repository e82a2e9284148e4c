//go:build !linux

package gate

import "net"

// The queues of a connection in the kernel.
const (
	received = iota
	sent
)

// queued returns -1, because the state of the connection is not known.
func queued(net.Conn, uint) int {
	return -1
}
