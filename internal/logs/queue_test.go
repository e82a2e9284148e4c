package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/logs"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.buffer.Write(p)
}

// TestQueueNeverBlocksAndCountsWhatItDrops writes 2000 lines at one time to a queue whose
// output is blocked. The rate limit allows 500 of them.
func TestQueueNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	now := time.Unix(0, 0)
	q := logs.NewQueue(out, func() time.Time { return now })
	for range 2000 {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	dropped := q.Dropped()
	is.True(dropped >= 1400) // nearly all of the 1500 lines above the limit
	now = now.Add(time.Second)
	close(out.release)
	_, _ = q.Write([]byte("later\n"))
	q.Close()
	text := out.buffer.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(strings.HasSuffix(text, "later\n"))
}

// TestQueueBoundsBytes guards against long lines that use up the memory of the host while
// the output is blocked (issue 29, report of another operator).
func TestQueueBoundsBytes(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	q := logs.NewQueue(out, func() time.Time { return time.Unix(0, 0) })
	line := bytes.Repeat([]byte("x"), 100<<10)
	for range 100 {
		_, err := q.Write(line)
		is.NoErr(err)
	}
	close(out.release)
	q.Close()
	is.True(out.buffer.Len() <= 2<<20)
	is.True(out.buffer.Len() >= 5*len(line))
	is.True(q.Dropped() >= 80)
}
