package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	stopWork      = 3500 * time.Millisecond
	stopDeadline  = 12 * time.Second
	stopObjective = 11 * time.Second
	stopRequests  = 12
	// stopQueue is the number of requests that may wait at a target.
	stopQueue = 16
	// stopAfter is the time from the requests to SIGTERM.
	stopAfter = 200 * time.Millisecond
	// lossSlack is the bound loss-slack-ms of the pages.
	lossSlack = 200 * time.Millisecond
)

// runQueuedStop stops a host by SIGTERM while requests wait there for a slot. Each
// request that the host has read must get a complete answer, unless its target is still
// at work on it in the last sixth of the grace time.
func runQueuedStop(env *environment) (bool, error) {
	s, err := openScene(env, &sceneOptions{
		hosts: 3, services: []string{serviceName}, targetsEach: 4, slots: 3, work: stopWork,
		configuration: configuration(260, []rule{
			{name: orderRoute, prefix: orderPrefix, service: serviceName, kind: nonIdempotent, timeout: stopDeadline, objective: stopObjective, maxAttempts: 2},
		}),
		prepare: func(t *target) { t.queue = stopQueue },
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	env.record.add("first, a few requests show the hosts how long the work takes")
	sendToAll(s, 3)
	env.record.add("now %d requests at once to each host", stopRequests)
	if env.trouble {
		time.AfterFunc(stopAfter, func() { s.fleet.terminate(s.fleet.hosts[0]) })
	}
	attempts := sendToAll(s, stopRequests)
	time.Sleep(settleTime)
	return countUnanswered(s, attempts) > 0, nil
}

// sendToAll sends requests to each host at once, and returns them after the last answer.
func sendToAll(s *scene, count int) []*attempt {
	attempts := make([]*attempt, count*len(s.fleet.hosts))
	var consumers sync.WaitGroup
	for i := range attempts {
		attempts[i] = newAttempt(http.MethodPost, orderPrefix+"run", stopDeadline)
		consumers.Go(func() {
			c := newCaller(s.env.record, s.fleet.hosts[i%len(s.fleet.hosts)].front)
			defer c.close()
			c.send(attempts[i])
		})
	}
	consumers.Wait()
	return attempts
}

// countUnanswered records and counts the attempts whose connection ended before the
// deadline without a complete answer, later than lossSlack after they were sent, although
// no target was at work on them.
func countUnanswered(s *scene, attempts []*attempt) int {
	runs := s.ledger.byID()
	lost, excused, answered := 0, 0, 0
	for _, a := range attempts {
		took := a.endedAt.Sub(a.sentAt)
		isAtWork := len(runs[a.id]) > 0 && runs[a.id][0].at.Before(a.endedAt)
		switch {
		case a.status != 0:
			answered++
		case isAtWork || took <= lossSlack || took >= a.deadline:
			excused++
		default:
			lost++
			s.env.record.add("request %s was read, no target had begun to work on it, and its connection was closed after %d ms without an answer", a.id, took.Milliseconds())
		}
	}
	s.env.record.add("LOST: %d requests were answered, %d were cut while a target was at work on them, and %d were lost", answered, excused, lost)
	return lost
}
