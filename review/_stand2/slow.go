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
	slowUploads     = 10
	slowBytes       = 200 << 10
	slowPiece       = 1 << 10
	slowTimeoutMs   = 2000
	slowDeadline    = 4 * time.Second
	slowRate        = 25_000
	slowReadEnough  = 8 << 10
	afterTheTimeout = 500 * time.Millisecond
)

// playSlowUploads has targets answer long bodies that arrive slowly before they have read them.
func playSlowUploads(l *log, trouble bool) (bool, error) {
	d, err := newDeployment(l)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	ran := make(map[string]bool)
	serve := func(conn net.Conn, r *http.Request, body io.Reader) bool {
		id := r.Header.Get("X-Attempt-Id")
		if _, err := io.CopyN(io.Discard, body, slowReadEnough); err != nil {
			return false
		}
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		err := answer(conn, r, "", "taken")
		l.printf("target has run and answered %s (%v)", id, err)
		_, err = io.Copy(io.Discard, body)
		return err == nil
	}
	if err := d.startTargets(4, serve); err != nil {
		return false, err
	}
	d.timeoutMs = slowTimeoutMs
	d.configure()
	if err := d.start(284); err != nil {
		return false, err
	}
	replies := make([]reply, slowUploads)
	var callers sync.WaitGroup
	for i := range slowUploads {
		time.Sleep(50 * time.Millisecond)
		callers.Go(func() {
			id := fmt.Sprintf("e%03d", i)
			replies[i] = slowUpload(d.hosts[i%len(d.hosts)].front, id, trouble)
			l.printf("consumer got for %s: %v", id, replies[i])
		})
	}
	callers.Wait()
	late, never := 0, 0
	for i, got := range replies {
		if !ran[fmt.Sprintf("e%03d", i)] {
			continue
		}
		if got.status == 0 {
			never++
		}
		if got.status == 0 || got.took > slowTimeoutMs*time.Millisecond+afterTheTimeout {
			late++
		}
	}
	l.printf("result: %d orders, %d ran, %d of these had no answer %v after timeout-ms, %d none until their consumer's deadline", slowUploads, len(ran), late, afterTheTimeout, never)
	if len(ran) == 0 {
		return false, fmt.Errorf("no order has run")
	}
	return late >= 8 && 4*late > slowUploads, nil
}

// slowUpload sends an order whose body arrives slowly, or at once.
func slowUpload(address, id string, isSlow bool) reply {
	started := time.Now()
	conn, err := dial(address)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(slowDeadline))
	_, _ = fmt.Fprintf(conn, "POST %sbig HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", orderPrefix, hostName, id, slowDeadline.Milliseconds(), slowBytes)
	go func() {
		piece := make([]byte, slowPiece)
		for range slowBytes / slowPiece {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			if isSlow {
				time.Sleep(slowPiece * time.Second / slowRate)
			}
		}
	}()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, stamp: r.Header.Get("X-Server-Stamp"), bytes: len(text), whole: err == nil, err: err, took: time.Since(started)}
}
