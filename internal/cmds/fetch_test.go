package cmds

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestFetchRejectsUnsoundAnswer has an entry host answer with a field whose name holds a blank.
func TestFetchRejectsUnsoundAnswer(t *testing.T) {
	tests := []struct {
		name, field string
		isSound     bool
	}{
		{name: "sound", field: "X-More: 1", isSound: true},
		{name: "blank in a name", field: "X More: 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.field+"\r\nContent-Length: 2\r\n\r\n{}")
			}()
			_, err = fetch[struct{}](t.Context(), listener.Addr().String(), "/tiller/status")
			is.Equal(err == nil, tt.isSound)
		})
	}
}
