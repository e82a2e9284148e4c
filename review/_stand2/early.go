package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of each body, and uploadPiece that of the parts in which it is sent.
	uploadBytes = 200 << 10
	uploadPiece = 2 << 10
	uploads     = 20
	// readBeforeAnswer is how much of a body a target reads before it answers early.
	readBeforeAnswer = 100 << 10
	uploadDeadlineMs = 3000
	// answerBytes is the length of the answers.
	answerBytes = 400 << 10
)

// uploadBody returns a body in which each eight bytes are their own position.
func uploadBody() []byte {
	body := make([]byte, 0, uploadBytes)
	for len(body) < uploadBytes {
		body = binary.BigEndian.AppendUint64(body, uint64(len(body)))
	}
	return body
}

// received is what a target read of one body.
type received struct {
	id string
	// bytes is the number of bytes read, and whole says that the body ended as complete.
	bytes int
	whole bool
	// firstOther is the position of the first byte that differs from what was sent, or -1.
	firstOther int
	end        string
}

type uploadTarget struct {
	mu       sync.Mutex
	log      *log
	early    bool
	expected []byte
	// text is the body of each answer.
	text     string
	received []received
}

func (u *uploadTarget) serve(conn net.Conn, r *http.Request, body io.Reader) bool {
	got := received{id: r.Header.Get("X-Attempt-Id"), firstOther: -1}
	answered := false
	buffer := make([]byte, 4<<10)
	for {
		if u.early && !answered && got.bytes >= readBeforeAnswer {
			answered = true
			_ = answer(conn, r, "", u.text)
			u.log.printf("target answered %s after %d bytes of the body and reads on", got.id, got.bytes)
		}
		n, err := body.Read(buffer)
		for i := range n {
			at := got.bytes + i
			if got.firstOther < 0 && (at >= len(u.expected) || buffer[i] != u.expected[at]) {
				got.firstOther = at
			}
		}
		got.bytes += n
		if err == io.EOF {
			got.whole = true
		}
		if err != nil {
			got.end = err.Error()
			break
		}
	}
	if got.whole && !answered {
		_ = answer(conn, r, "", u.text)
	}
	u.mu.Lock()
	u.received = append(u.received, got)
	u.mu.Unlock()
	u.log.printf("target read of %s: %d of %d bytes, whole %v, first other byte at %d (%s)", got.id, got.bytes, len(u.expected), got.whole, got.firstOther, got.end)
	return got.whole
}

// upload sends one body in parts, and returns the status of the answer or zero.
func upload(l *log, address, id string, isChunked bool, body []byte) int {
	conn, err := dial(address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add((uploadDeadlineMs + 500) * time.Millisecond))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if isChunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(conn, "POST %sbig HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n", orderPrefix, hostName, id, uploadDeadlineMs, framing)
	go func() {
		for at := 0; at < len(body); at += uploadPiece {
			part := body[at:min(at+uploadPiece, len(body))]
			if isChunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			} else {
				_, err = conn.Write(part)
			}
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		if isChunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.printf("consumer sent %s (chunked %v): no answer: %v", id, isChunked, err)
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	l.printf("consumer sent %s (chunked %v): answer %d of %d bytes (%v)", id, isChunked, r.StatusCode, len(text), err)
	return r.StatusCode
}

// playEarlyAnswer sends long bodies to targets that answer before they have read them,
// keep the connection and read on.
func playEarlyAnswer(l *log, trouble bool) (bool, error) {
	d, err := newDeployment(l)
	if err != nil {
		return false, err
	}
	defer d.close()
	body := uploadBody()
	u := &uploadTarget{log: l, early: trouble, expected: body, text: strings.Repeat("answer..", answerBytes/8)}
	for i := range 3 {
		t, err := startTarget(fmt.Sprintf("i-%d", i+1), u.serve)
		if err != nil {
			return false, err
		}
		d.register(t.id, t.address(), 1, time.Now().UnixMilli())
	}
	d.configure()
	if err := d.start(284); err != nil {
		return false, err
	}
	answered := 0
	for i := range uploads {
		if upload(l, d.hosts[i%len(d.hosts)].front, fmt.Sprintf("a%03d", i), i%2 == 0, body) == http.StatusOK {
			answered++
		}
	}
	time.Sleep(time.Second)
	u.mu.Lock()
	defer u.mu.Unlock()
	other, short := 0, 0
	for _, got := range u.received {
		if got.firstOther >= 0 {
			other++
		}
		if got.whole && got.bytes != len(body) {
			short++
		}
	}
	l.printf("result: %d uploads, %d answered with 200, %d reached targets, %d targets got other bytes, %d got a shorter body as a whole one", uploads, answered, len(u.received), other, short)
	if len(u.received) == 0 || (!trouble && answered < uploads) {
		return false, fmt.Errorf("the uploads did not reach the targets")
	}
	return other+short > 0, nil
}
