package main

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// usualRate is the number of downloads a second, and burstFactor multiplies it from
	// burstAt for burstTime.
	usualRate   = 7
	burstFactor = 2.6
	burstAt     = 10 * time.Second
	burstTime   = 6600 * time.Millisecond
	arrivalTime = 20 * time.Second

	downloadBytes    = 4_000_000
	downloadDeadline = 20 * time.Second
	// downloadRate is how fast a consumer reads, in bytes a second.
	downloadRate = 400_000
)

// playDownloads has consumers read large answers, each at a steady rate, and many come at once.
func playDownloads(l *log, trouble bool) (bool, error) {
	d, err := newDeployment(l)
	if err != nil {
		return false, err
	}
	defer d.close()
	targets := newWorkTarget(l, func(r *http.Request) (time.Duration, string) {
		if r.URL.Path == readPrefix+"small" {
			return time.Millisecond, "small"
		}
		return 50 * time.Millisecond, text(downloadBytes)
	})
	if err := d.startTargets(40, targets.serve); err != nil {
		return false, err
	}
	d.timeoutMs = int(downloadDeadline.Milliseconds())
	d.configure()
	if err := d.start(184); err != nil {
		return false, err
	}
	var replies []*reply
	var callers sync.WaitGroup
	started := time.Now()
	for time.Since(started) < arrivalTime {
		perSecond := float64(usualRate)
		if now := time.Since(started); trouble && now >= burstAt && now < burstAt+burstTime {
			perSecond *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		i, got := len(replies), new(reply)
		replies = append(replies, got)
		callers.Go(func() {
			conn, err := dial(d.hosts[0].front)
			if err != nil {
				*got = reply{err: err}
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			first := call(conn, reader, http.MethodGet, readPrefix+"small", fmt.Sprintf("s%03d", i), "", downloadDeadline, 0)
			l.printf("consumer sends c%03d on the connection that it kept after: %v", i, first)
			*got = call(conn, reader, http.MethodGet, readPrefix+"archive", fmt.Sprintf("c%03d", i), "", downloadDeadline, downloadRate)
			l.printf("consumer got for c%03d: %v", i, *got)
		})
	}
	callers.Wait()
	lost, refused, timedOut := 0, 0, 0
	for i := range replies {
		switch {
		case replies[i].status == http.StatusServiceUnavailable:
			refused++
		case replies[i].took >= downloadDeadline:
			timedOut++
		case !replies[i].whole && targets.runsOf(fmt.Sprintf("c%03d", i)) > 0:
			lost++
		}
	}
	l.printf("result: %d downloads, %d refused, %d reached their deadline, %d were broken off before", len(replies), refused, timedOut, lost)
	return lost > 3, nil
}
