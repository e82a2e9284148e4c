package gate_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

const (
	// downloadBytes is far more than the buffers between the server and its client hold.
	downloadBytes = 24 << 20
	// sendBufferBytes is the send buffer of the server, of which a third must be free before
	// a write that waits goes on.
	sendBufferBytes = 4 << 20
)

// largeBuffers is a listener whose connections have large send buffers, as the kernel gives
// them on paths with a long delay.
type largeBuffers struct {
	net.Listener
}

// Accept implements net.Listener.
func (l largeBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
}

// startDownloads starts a server that answers each request with downloadBytes.
func startDownloads(t *testing.T, limits gate.Limits) (address string) {
	t.Helper()
	is := is.New(t)
	g := gate.New("caller", limits, metrics.NewSet(), slog.New(slog.DiscardHandler))
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 32<<10)
		for sent := 0; sent < downloadBytes; sent += len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})}
	g.Follow(server, func(w http.ResponseWriter, _ *http.Request, failed *fault.Error) { w.WriteHeader(failed.Status) })
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(g.Guard(largeBuffers{listener})) })
	t.Cleanup(func() {
		g.Cut()
		_ = server.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}

// download opens a connection with a request for a download. receiveBytes is the size of its
// receive buffer, or zero for the default.
func download(t *testing.T, address string, receiveBytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if receiveBytes > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			}
		})
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitAnswer returns when an answer has begun. Before, a connection may be closed for others,
// because its head has not been read.
func awaitAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// readSteadily reads at a rate in bytes a second until the connection ends or the context
// does, and then as fast as it can. It returns the number of bytes read.
func readSteadily(ctx context.Context, conn net.Conn, rate int) int64 {
	const period = 50 * time.Millisecond
	perPeriod := int64(rate) * int64(period) / int64(time.Second)
	total := int64(0)
	for ctx.Err() == nil {
		n, err := io.CopyN(io.Discard, conn, perPeriod)
		total += n
		if err != nil {
			return total
		}
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	n, _ := io.Copy(io.Discard, conn)
	return total + n
}

// TestSteadyReadersKeepTheirPlaces guards against answers that are broken off for others while
// their clients read them, because a write to a full send buffer stands still for seconds
// (review/7), or because the kernel of a client with a large buffer acknowledges nothing until
// a sixteenth of it is free. A client that reads nothing loses its place.
func TestSteadyReadersKeepTheirPlaces(t *testing.T) {
	tests := []struct {
		name string
		// rate is how fast the clients read, in bytes a second.
		rate, receiveBytes int
	}{
		{name: "usual buffers", rate: 400_000},
		{name: "large buffers", rate: 60_000, receiveBytes: 4 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := startDownloads(t, gate.Limits{Limits: admit.Limits{Connections: 3, Bytes: 1 << 30}, Heads: heads, AnswerStall: time.Minute})
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			var readers sync.WaitGroup
			var totals [2]int64
			for i := range totals {
				conn := download(t, address, tt.receiveBytes)
				awaitAnswer(t, conn)
				readers.Go(func() { totals[i] = readSteadily(ctx, conn, tt.rate) })
			}
			unread := download(t, address, 0)
			awaitAnswer(t, unread)
			for ctx.Err() == nil {
				// All places are used, so each of these costs another connection its place.
				conn := download(t, address, 0)
				time.Sleep(250 * time.Millisecond)
				_ = conn.Close()
			}
			readers.Wait()
			for _, total := range totals {
				is.True(total > downloadBytes) // the whole answer
			}
			n, _ := io.Copy(io.Discard, unread)
			is.True(n < downloadBytes)
		})
	}
}

// TestSteadyReaderIsNotStalled guards against an answer that is cut although its client reads
// all the time: a write that waits for a large part of the send buffer takes longer than
// AnswerStall. A client that reads nothing is cut.
func TestSteadyReaderIsNotStalled(t *testing.T) {
	is := is.New(t)
	address := startDownloads(t, gate.Limits{Limits: admit.Limits{Connections: 3, Bytes: 1 << 30}, Heads: heads, AnswerStall: 700 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	conn, unread := download(t, address, 0), download(t, address, 0)
	total := readSteadily(ctx, conn, 200_000)
	is.True(total > downloadBytes)
	n, _ := io.Copy(io.Discard, unread)
	is.True(n < downloadBytes)
}
