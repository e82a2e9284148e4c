package target

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// TestBlockedConnectionIsReplaced guards against attempts that fail because the transport
// assigned them a connection that was closed here and not yet removed from its pool. The test
// blocks the connection without closing it, so that the transport always assigns it.
func TestBlockedConnectionIsReplaced(t *testing.T) {
	tests := []struct {
		name    string
		body    io.Reader
		length  int64
		verdict fault.Verdict
	}{
		{name: "without a body"},
		{name: "body in memory", body: bytes.NewReader([]byte("guests=2")), length: 8},
		{name: "body that is still arriving", body: io.LimitReader(strings.NewReader("guests=2"), 8), length: 8, verdict: fault.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var bodies []string
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				bodies = append(bodies, string(body))
			}))
			defer server.Close()
			client := NewClient(Limits{Connections: 4, IdleTimeout: time.Minute}, NativeProtocol{})
			defer client.Close()
			send := func(body io.Reader, length int64) error {
				answer, err := client.Do(t.Context(), &Request{
					Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPut, URI: "/x",
					Header: http.Header{}, Body: body, ContentLength: length, Deadline: time.Now().Add(time.Minute),
				})
				if err == nil {
					_ = answer.Body.Close()
				}
				return err
			}
			is.NoErr(send(nil, 0))
			client.mu.Lock()
			for conn := range client.conns {
				conn.blockWrites(0)
			}
			client.mu.Unlock()
			err := send(tt.body, tt.length)
			if tt.verdict == fault.NotRun && err != nil {
				is.Equal(fault.VerdictOf(err), fault.NotRun)
				is.Equal(len(bodies), 1)
				return
			}
			is.NoErr(err)
			is.Equal(len(bodies), 2)
			is.Equal(bodies[1], strings.Repeat("guests=2", min(int(tt.length), 1)))
		})
	}
}
