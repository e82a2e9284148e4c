package gate_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// TestHeadWithoutRoomIsRefused guards against status 400 for a proper request whose head finds
// no room: callers don't repeat it after that (issue 40).
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	const requestBytes = 16 << 10
	tests := []struct {
		name string
		// bytes is what may be held: for the first request, and perhaps for the next head.
		bytes int
	}{
		{name: "not for the head", bytes: requestBytes + 1<<10},
		{name: "for the head, not for the request", bytes: 2*requestBytes - 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := gate.New("caller", gate.Limits{Limits: admit.Limits{Connections: 10, Bytes: tt.bytes}, Heads: heads, RequestBytes: requestBytes, AnswerStall: time.Minute}, metrics.NewSet(), slog.New(slog.DiscardHandler))
			arrived, end := make(chan struct{}), make(chan struct{})
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(arrived)
				<-end
			})}
			g.Follow(server, func(w http.ResponseWriter, _ *http.Request, failed *fault.Error) {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(failed.Status)
			})
			var config net.ListenConfig
			listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			var serving sync.WaitGroup
			serving.Go(func() { _ = server.Serve(g.Guard(listener)) })
			defer serving.Wait()
			defer func() { _ = server.Close() }()
			defer close(end)
			send(t, listener.Addr().String())
			<-arrived
			response, err := http.ReadResponse(bufio.NewReader(send(t, listener.Addr().String())), nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get("Retry-After"), "1")
			is.True(response.Close)
		})
	}
}

// send opens a connection with a request whose head takes more than 1 KiB.
func send(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: 1\r\nB: 2\r\nC: 3\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}
