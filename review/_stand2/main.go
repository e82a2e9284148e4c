// Command _stand2 plays the cases of the second review against entry hosts that run as
// separate processes on loopback. It is built by review/build-2.sh.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// log writes the record of a case.
type log struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (l *log) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.file.WriteString(line)
	if strings.HasPrefix(format, "result") {
		fmt.Print(line)
	}
}

// play is one case. It returns whether the rule was broken.
type play func(l *log, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"early-answer": playEarlyAnswer,
	"downloads":    playDownloads,
	"leave":        playLeave,
	"slow-uploads": playSlowUploads,
}

// init keeps the main goroutine on the main thread. Hosts are started from there, and end
// with it, however this process ends.
func init() {
	runtime.LockOSThread()
}

func main() {
	// The case goes on if nobody reads its result.
	signal.Ignore(syscall.SIGPIPE)
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _stand2 CASE RECORD")
		os.Exit(exitFailed)
	}
	file, err := os.Create(os.Args[2]) //nolint:gosec // the record that the script names
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	l := &log{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	l.printf("case %s, trouble %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](l, trouble)
	code := exitHeld
	switch {
	case err != nil:
		l.printf("result: the case could not run: %v", err)
		code = exitFailed
	case broken:
		l.printf("result: the rule was broken")
		code = exitBroken
	default:
		l.printf("result: the rule held")
	}
	_ = file.Close()
	os.Exit(code)
}
