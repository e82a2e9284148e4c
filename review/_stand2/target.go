package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

// targetFunc handles one request of a target connection, whose body is not read yet. It
// returns false to close the connection.
type targetFunc func(conn net.Conn, r *http.Request, body io.Reader) bool

// target is a stand-in for a target that serves one request at a time on a connection.
type target struct {
	id       string
	listener net.Listener
	serve    targetFunc
	// accept says whether the target takes a connection, and header returns further lines of
	// the answers to probes. Both may be nil.
	accept func(conn net.Conn) bool
	header func() string
}

func startTarget(id string, serve targetFunc) (*target, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, listener: listener, serve: serve}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serveConn(conn)
		}
	}()
	return t, nil
}

func (t *target) address() string { return t.listener.Addr().String() }

func (t *target) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if t.accept != nil && !t.accept(conn) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			further := ""
			if t.header != nil {
				further = t.header()
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,4,100\r\n%sContent-Length: 0\r\n\r\n", t.id, further)
			continue
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", t.id)
			return
		}
		if !t.serve(conn, r, r.Body) {
			return
		}
	}
}

// answer writes the whole answer of a target. The further lines of its head are in extra.
func answer(w io.Writer, r *http.Request, extra, body string) error {
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+
		"\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 1,0,4,100\r\n"+extra+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err
}
