package answer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/answer"
)

// soundAnswers are answers that follow each other on a connection, except for the last.
var soundAnswers = []struct{ name, method, text, body string }{
	{"length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	{"no bytes", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	{"length given twice", http.MethodGet, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nContent-Length:2 \r\n\r\nok", "ok"},
	{"body like a head", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nX More: 1\r\n", "X More: 1\r\n"},
	{"without a reason", http.MethodGet, "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", ""},
	{"reason with a tab and bytes above ASCII", http.MethodGet, "HTTP/1.1 404 Ni\tgefunden\xfc\r\nContent-Length: 0\r\n\r\n", ""},
	{"minor version", http.MethodGet, "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	{"lines that end with LF", http.MethodGet, "HTTP/1.1 200 OK\nContent-Length: 2\nX-More:\n\nok", "ok"},
	{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", ""},
	{"HEAD of chunks", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
	{"304 with the length of another answer", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", ""},
	{"interim answers", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
	{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0a;x=\"y\"\r\nX More: 1\n\r\n0\r\n\r\n", "okX More: 1\n"},
	{"chunks and a length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
	{"trailer", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nContent-Length: 7\r\n\r\n", "ok"},
	{"connection that ends", http.MethodGet, "HTTP/1.0 200 OK\r\nX-More: 1\r\n\r\nX More: 1\r\n", "X More: 1\r\n"},
}

// writePieces writes an answer in pieces, and then closes the connection if its end is that of
// the body.
func writePieces(conn net.Conn, text string, pieceBytes int) {
	endsByClose := strings.HasPrefix(text, "HTTP/1.0")
	for text != "" {
		piece := text[:min(pieceBytes, len(text))]
		text = text[len(piece):]
		_, _ = io.WriteString(conn, piece)
	}
	if endsByClose {
		_ = conn.Close()
	}
}

// readAnswer returns the body of the next final answer.
func readAnswer(reader *bufio.Reader, method string) (string, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK {
		return readAnswer(reader, method)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestSoundAnswersAreRead has the answers arrive in pieces of different sizes.
func TestSoundAnswersAreRead(t *testing.T) {
	for _, pieceBytes := range []int{1, 7, 4096} {
		t.Run(fmt.Sprintf("pieces of %d bytes", pieceBytes), func(t *testing.T) {
			client, server := net.Pipe()
			conn := answer.NewConn(client)
			reader := bufio.NewReader(conn)
			for _, tt := range soundAnswers {
				t.Run(tt.name, func(t *testing.T) {
					is := is.New(t)
					conn.Expect(tt.method)
					go writePieces(server, tt.text, pieceBytes)
					body, err := readAnswer(reader, tt.method)
					is.NoErr(err)
					is.Equal(body, tt.body)
				})
			}
		})
	}
}
