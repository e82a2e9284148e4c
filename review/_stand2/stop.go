package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stopOrders     = 10
	stopWork       = 1500 * time.Millisecond
	stopDeadline   = 4 * time.Second
	betweenSignals = 500 * time.Millisecond
)

// playStopTwice sends SIGTERM to a host at which requests run, and once more while it stops.
func playStopTwice(l *log, trouble bool) (bool, error) {
	d, err := newDeployment(l)
	if err != nil {
		return false, err
	}
	defer d.close()
	targets := newWorkTarget(l, func(*http.Request) (time.Duration, string) { return stopWork, "done" })
	if err := d.startTargets(4, targets.serve); err != nil {
		return false, err
	}
	d.configure(7)
	if err := d.start(3, 284); err != nil {
		return false, err
	}
	replies := make([]reply, stopOrders)
	var callers sync.WaitGroup
	for i := range stopOrders {
		callers.Go(func() {
			id := fmt.Sprintf("b%03d", i)
			conn, err := net.DialTimeout("tcp", d.hosts[0].front, time.Second)
			if err != nil {
				replies[i] = reply{err: err}
				return
			}
			defer func() { _ = conn.Close() }()
			l.printf("consumer sends %s", id)
			replies[i] = call(conn, bufio.NewReader(conn), http.MethodPost, orderPrefix+"x", id, "order", stopDeadline, 0)
			l.printf("consumer got for %s: %v", id, replies[i])
		})
	}
	time.Sleep(200 * time.Millisecond)
	d.hosts[0].signal(syscall.SIGTERM)
	l.printf("SIGTERM to %s", d.hosts[0].name)
	if trouble {
		time.Sleep(betweenSignals)
		d.hosts[0].signal(syscall.SIGTERM)
		l.printf("SIGTERM to %s once more", d.hosts[0].name)
	}
	callers.Wait()
	lost := 0
	for i := range replies {
		if id := fmt.Sprintf("b%03d", i); targets.runsOf(id) > 0 && (replies[i].stamp == "" || !replies[i].whole) {
			lost++
		}
	}
	l.printf("result: %d requests, %d that ran were broken off", stopOrders, lost)
	return lost > 0, nil
}
