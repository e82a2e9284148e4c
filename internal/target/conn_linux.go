package target

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may stay unacknowledged by the target's host before
// the connection fails.
const userTimeout = 3 * time.Second

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
