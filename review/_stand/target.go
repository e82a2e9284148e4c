package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	// targetIdleSeconds is how long a target keeps an idle connection.
	targetIdleSeconds = 10
	// defaultQueue is the number of requests that may wait at a target for a slot.
	defaultQueue = 2
	// hangTime is how long a request that hangs occupies a slot, which is longer than the
	// deadlines of the consumers.
	hangTime = 1500 * time.Millisecond
)

// run is one request that a target began to work on.
type run struct {
	id, target, service, method, uri string
	// body is the length and a checksum of the body.
	body string
	at   time.Time
}

// describeBody returns the length and a checksum of a body.
func describeBody(body []byte) string {
	return fmt.Sprintf("%d bytes, CRC %08x", len(body), crc32.ChecksumIEEE(body))
}

// ledger holds all runs at all targets. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns the runs so far.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// byID returns the runs of each request.
func (l *ledger) byID() map[string][]run {
	byID := make(map[string][]run)
	for _, r := range l.all() {
		byID[r.id] = append(byID[r.id], r)
	}
	return byID
}

// target simulates a server of a service. It runs a request for a fixed time in one of
// its slots, and answers 503 with X-Not-Executed if all slots are busy and its queue is
// full. It declines requests that expect another target.
type target struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	listener          net.Listener
	ledger            *ledger
	record            *recorder
	// loseAnswer says whether the connection is closed after a run in place of its answer.
	loseAnswer func(request *http.Request) bool
	// hangs says whether a run never ends; nil for a target whose runs all end.
	hangs func() bool
	// repeatAnswer says whether an answer is sent a second time, at the point where the
	// next answer is expected on the connection.
	repeatAnswer func() bool

	slot chan struct{}

	mu      sync.Mutex
	waiting int
	conns   map[net.Conn]bool
	closed  bool
}

func newTarget(id, service, zone string, slots int, work time.Duration, l *ledger, record *recorder) (*target, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &target{
		id: id, service: service, zone: zone, slots: slots, queue: defaultQueue, work: work, listener: listener, ledger: l, record: record,
		slot: make(chan struct{}, slots), conns: make(map[net.Conn]bool),
	}, nil
}

// start accepts connections until close.
func (t *target) start() {
	go func() {
		for {
			conn, err := t.listener.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			isClosed := t.closed
			t.conns[conn] = true
			t.mu.Unlock()
			if isClosed {
				_ = conn.Close()
				return
			}
			go t.serve(conn)
		}
	}()
}

// close ends the target with all its connections.
func (t *target) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// registration is the entry of the target in the store.
func (t *target) registration(state string, sequence int) []byte {
	text, _ := json.Marshal(map[string]any{
		"addr":      t.listener.Addr().String(),
		"node-info": map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "capacity": t.slots},
		"status":    map[string]any{"state": state, "sequence": sequence, "cold-left-ms": 0},
		"born":      t.record.started.UnixMilli(),
	})
	return text
}

func (t *target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(targetIdleSeconds * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != nil {
			t.record.add("target %s sends an earlier answer a second time, where the answer to %q is expected: %q", t.id, request.Header.Get("X-Attempt-Id"), firstLines(extra))
			_, _ = conn.Write(extra)
			extra = nil
		}
		answer := t.answer(request, body)
		if answer == nil {
			return
		}
		if t.repeatAnswer != nil && t.repeatAnswer() {
			extra = answer
		}
		if _, err := conn.Write(answer); err != nil || request.Close {
			return
		}
	}
}

// firstLines returns the start of an answer for the record.
func firstLines(answer []byte) string {
	head, _, _ := bytes.Cut(answer, []byte("\r\nX-Server-Load"))
	return string(head)
}

// answer processes a request. It returns nil if the connection must be closed without an
// answer.
func (t *target) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == healthPath {
		return t.format(http.StatusOK, "X-Instance-Id: "+t.id+"\r\n", nil)
	}
	if request.Header.Get("X-Expect-Instance") != t.id {
		return t.format(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n", nil)
	}
	if !t.enter() {
		t.record.add("target %s sheds %s", t.id, id)
		return t.format(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", nil)
	}
	defer func() { <-t.slot }()
	t.ledger.add(run{id: id, target: t.id, service: t.service, method: request.Method, uri: request.RequestURI, body: describeBody(body), at: time.Now()})
	t.record.add("target %s of %s runs %s %s %s, body of %s", t.id, t.service, id, request.Method, request.RequestURI, describeBody(body))
	if t.hangs != nil && t.hangs() {
		t.record.add("target %s hangs with %s", t.id, id)
		time.Sleep(hangTime)
		return nil
	}
	time.Sleep(t.work)
	if t.loseAnswer != nil && t.loseAnswer(request) {
		t.record.add("target %s loses the answer to %s", t.id, id)
		return nil
	}
	text := fmt.Sprintf("%s %s %d", request.Method, request.RequestURI, len(body))
	return t.format(http.StatusOK, "X-Server-Stamp: stamp-"+t.id+"\r\nX-Attempt-Id: "+id+"\r\n", []byte(text))
}

// enter waits for a slot. It returns false at once if the queue is full.
func (t *target) enter() bool {
	select {
	case t.slot <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	t.slot <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
	return true
}

// format writes an answer with a length and the load of the target.
func (t *target) format(status int, header string, body []byte) []byte {
	t.mu.Lock()
	waiting := t.waiting
	t.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	fmt.Fprintf(&out, "X-Server-Load: %d,%d,%d,100\r\nKeep-Alive: timeout=%d\r\n", len(t.slot), waiting, t.slots, targetIdleSeconds)
	out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	out.Write(body)
	return out.Bytes()
}
