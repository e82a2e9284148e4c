package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is the platform's bound drain-ms.
	drainTime = 2 * time.Second

	leaveLoadTime  = 12 * time.Second
	leaveWork      = 150 * time.Millisecond
	leavePause     = 20 * time.Millisecond
	leaveCallers   = 18
	leaveDeadline  = 2 * time.Second
	storeDownAt    = 2 * time.Second
	restartAt      = 2200 * time.Millisecond
	targetLeavesAt = 3800 * time.Millisecond
	storeBackAt    = 6400 * time.Millisecond
	// entryLag is how long after it can reach the store a target has written its entry.
	entryLag = 100 * time.Millisecond
)

// leavingTarget is a target that starts again under its id, and then leaves. Its entry stays
// ready.
type leavingTarget struct {
	mu sync.Mutex
	// busy holds the open connections, and says which of them have a request.
	busy      map[net.Conn]bool
	isLeaving bool
	// requests are the ids of the requests that have reached it, once it leaves.
	requests []string
	log      *log
}

// add takes a new connection.
func (t *leavingTarget) add(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[conn] = false
	return true
}

// restart ends the instance. It closes the idle connections, and the others with their answers.
func (t *leavingTarget) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, isBusy := range t.busy {
		if !isBusy {
			_ = conn.Close()
		}
	}
	clear(t.busy)
}

func (t *leavingTarget) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isLeaving = true
}

// header returns what each answer says of the leaving.
func (t *leavingTarget) header() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isLeaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// begin notes that a request has arrived.
func (t *leavingTarget) begin(conn net.Conn, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[conn] = true
	if t.isLeaving {
		t.requests = append(t.requests, id)
	}
	t.log.printf("the target runs %s, leaving %v", id, t.isLeaving)
}

// isEnded reports whether the instance to which a connection was opened has ended.
func (t *leavingTarget) isEnded(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.busy[conn]
	if found {
		t.busy[conn] = false
	}
	return !found
}

func (t *leavingTarget) serve(conn net.Conn, r *http.Request, body io.Reader) bool {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return false
	}
	t.begin(conn, r.Header.Get("X-Attempt-Id"))
	time.Sleep(leaveWork)
	further, isEnded := t.header(), t.isEnded(conn)
	if isEnded {
		further += "Connection: close\r\n"
	}
	return answer(conn, r, further, "done") == nil && !isEnded
}

// leaveRecord has when consumers sent their requests, and when each host first passed on that
// the target leaves.
type leaveRecord struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	host   map[string]int
	passed map[int]time.Time
	total  int
}

// playLeave has a target leave that has started again while the store was down.
func playLeave(l *log, trouble bool) (bool, error) {
	d, err := newDeployment(l)
	if err != nil {
		return false, err
	}
	defer d.close()
	leaving := &leavingTarget{busy: make(map[net.Conn]bool), log: l}
	others := newWorkTarget(l, func(*http.Request) (time.Duration, string) { return leaveWork, "done" })
	others.isQuiet = true
	if err := d.startTargets(3, others.serve); err != nil {
		return false, err
	}
	t, err := startTarget("i-9", leaving.serve)
	if err != nil {
		return false, err
	}
	t.accept, t.header = leaving.add, leaving.header
	d.register(t.id, t.address(), 1, time.Now().UnixMilli())
	d.configure()
	if err := d.start(284); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	record := &leaveRecord{sent: make(map[string]time.Time), host: make(map[string]int), passed: make(map[int]time.Time)}
	started := time.Now()
	at := func(when time.Duration, what string, do func()) {
		time.AfterFunc(time.Until(started.Add(when)), func() {
			l.printf("%s", what)
			do()
		})
	}
	var born int64
	writeEntry := func() { d.register(t.id, t.address(), 2, born) }
	if trouble {
		at(storeDownAt, "the store is down", func() { d.store.setDown(true) })
		at(storeBackAt, "the store is back", func() { d.store.setDown(false) })
		at(storeBackAt+entryLag, "the target's entry is written", writeEntry)
	} else {
		at(restartAt+entryLag, "the target's entry is written", writeEntry)
	}
	at(restartAt, "the target starts again", func() {
		born = time.Now().UnixMilli()
		leaving.restart()
	})
	at(targetLeavesAt, "the target leaves", leaving.leave)
	var callers sync.WaitGroup
	for caller := range leaveCallers {
		callers.Go(func() { record.send(l, d, caller, started.Add(leaveLoadTime)) })
	}
	callers.Wait()
	return record.check(l, leaving)
}

func (r *leaveRecord) send(l *log, d *deployment, caller int, end time.Time) {
	index := caller % len(d.hosts)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("h%d-%02d-%04d", index+1, caller, i)
		conn, err := dial(d.hosts[index].front)
		if err != nil {
			time.Sleep(leavePause)
			continue
		}
		r.mu.Lock()
		r.sent[id], r.host[id] = time.Now(), index
		r.total++
		r.mu.Unlock()
		got := call(conn, bufio.NewReader(conn), http.MethodPost, orderPrefix+"x", id, "order", leaveDeadline, 0)
		_ = conn.Close()
		if got.isLeaving {
			r.mu.Lock()
			if r.passed[index].IsZero() {
				r.passed[index] = time.Now()
				l.printf("%s has passed on that the target leaves, with the answer to %s", d.hosts[index].name, id)
			}
			r.mu.Unlock()
		}
		time.Sleep(leavePause)
	}
}

func (r *leaveRecord) check(l *log, leaving *leavingTarget) (bool, error) {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, id := range leaving.requests {
		passed := r.passed[r.host[id]]
		if late := r.sent[id].Sub(passed); !passed.IsZero() && late > drainTime {
			wrong++
			l.printf("%s reached the leaving target, sent %d ms after its host had passed on that the target leaves", id, late.Milliseconds())
		}
	}
	l.printf("result: %d requests, %d of 3 hosts passed on that the target leaves, %d requests reached it that were sent more than %v later", r.total, len(r.passed), wrong, drainTime)
	if len(r.passed) == 0 {
		return false, fmt.Errorf("no host has passed on that the target leaves")
	}
	return wrong > 0, nil
}
