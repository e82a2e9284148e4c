package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workTarget runs requests for a time and counts how often each has run.
type workTarget struct {
	mu   sync.Mutex
	log  *log
	runs map[string]int
	// isQuiet leaves the requests out of the record.
	isQuiet bool
	// work returns how long a request runs and what is answered.
	work func(r *http.Request) (time.Duration, string)
}

func newWorkTarget(l *log, work func(r *http.Request) (time.Duration, string)) *workTarget {
	return &workTarget{log: l, runs: make(map[string]int), work: work}
}

func (t *workTarget) serve(conn net.Conn, r *http.Request, body io.Reader) bool {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return false
	}
	id := r.Header.Get("X-Attempt-Id")
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	if !t.isQuiet {
		t.log.printf("target runs %s", id)
	}
	length, text := t.work(r)
	time.Sleep(length)
	err := answer(conn, r, "", text)
	if !t.isQuiet {
		t.log.printf("target has answered %s (%v)", id, err)
	}
	return err == nil
}

func (t *workTarget) runsOf(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// reply is what a consumer got for a request.
type reply struct {
	status int
	stamp  string
	// isLeaving says that the answer states that its target leaves.
	isLeaving bool
	bytes     int
	// whole says that the answer is complete.
	whole bool
	err   error
	took  time.Duration
}

// call sends a request on an open connection and reads its answer at most at the given
// rate in bytes a second, zero for no limit.
func call(conn net.Conn, reader *bufio.Reader, method, path, id, body string, deadline time.Duration, rate int) reply {
	started := time.Now()
	_ = conn.SetDeadline(started.Add(deadline))
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", method, path, hostName, id, deadline.Milliseconds(), length, body)
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	defer func() { _ = r.Body.Close() }()
	got := reply{status: r.StatusCode, stamp: r.Header.Get("X-Server-Stamp"), isLeaving: r.Header.Get("Server-Leaving") == "1"}
	piece := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(piece)
		got.bytes += n
		if err == io.EOF {
			got.whole = true
			break
		}
		if err != nil {
			got.err = err
			break
		}
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
	}
	got.took = time.Since(started)
	return got
}

func (r reply) String() string {
	return fmt.Sprintf("status %d, stamp %v, %d bytes, whole %v, after %d ms, error %v", r.status, r.stamp != "", r.bytes, r.whole, r.took.Milliseconds(), r.err)
}

// startTargets starts and registers targets.
func (d *deployment) startTargets(count int, serve targetFunc) error {
	for i := range count {
		t, err := startTarget(fmt.Sprintf("i-%d", i+1), serve)
		if err != nil {
			return err
		}
		d.register(t.id, t.address(), 1, time.Now().UnixMilli())
	}
	return nil
}

func text(size int) string { return strings.Repeat("answer..", size/8) }
