//go:build !linux

package target

import "syscall"

func setUserTimeout(_, _ string, _ syscall.RawConn) error {
	return nil
}
