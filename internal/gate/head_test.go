package gate

import (
	"testing"

	"github.com/matryer/is"
)

// TestHeadScan checks what counts as sent behind a request, however the head is divided.
func TestHeadScan(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name       string
		text       string
		bodyBytes  int64
		lines      int
		isFollowed bool
	}{
		{name: "one request", text: head, lines: 3},
		{name: "empty lines before it", text: "\r\n\n" + head, lines: 5},
		{name: "line ends without CR", text: "GET / HTTP/1.1\nHost: h\n\n", lines: 3},
		{name: "half a head", text: head[:20], lines: 1},
		{name: "its body", text: head + "body", bodyBytes: 4, lines: 3},
		{name: "a stray empty line behind the body", text: head + "body\r\n", bodyBytes: 4, lines: 3},
		{name: "a body of unknown length", text: head + "4\r\nbody\r\n", bodyBytes: -1, lines: 3},
		{name: "a second request", text: head + head, lines: 3, isFollowed: true},
		{name: "a second request behind the body", text: head + "body" + head, bodyBytes: 4, lines: 3, isFollowed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				is := is.New(t)
				var s headScan
				lines := 0
				for from := 0; from < len(tt.text); from += size {
					lines += s.add([]byte(tt.text[from:min(from+size, len(tt.text))]))
				}
				is.Equal(lines, tt.lines)
				is.Equal(s.lines, tt.lines)
				is.Equal(s.bytes, len(tt.text))
				is.Equal(s.isFollowed(tt.bodyBytes), tt.isFollowed)
			}
		})
	}
}
