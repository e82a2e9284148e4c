package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	secondStopWork = 700 * time.Millisecond
	// secondStopAfter is the time between the two signals.
	secondStopAfter    = 300 * time.Millisecond
	secondStopRequests = 6
)

// runSecondStop sends a host a second SIGTERM while requests are in flight there.
func runSecondStop(env *environment) (bool, error) {
	s, err := openScene(env, &sceneOptions{
		hosts: 3, services: []string{serviceName}, targetsEach: 4, slots: 3, work: secondStopWork,
		configuration: configuration(260, []rule{
			{name: orderRoute, prefix: orderPrefix, service: serviceName, kind: nonIdempotent, timeout: 2 * time.Second, objective: time.Second, maxAttempts: 2},
		}),
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	host := s.fleet.hosts[0]
	attempts := make([]*attempt, secondStopRequests)
	var consumers sync.WaitGroup
	for i := range attempts {
		attempts[i] = newAttempt(http.MethodPost, orderPrefix+"run", 2*time.Second)
		consumers.Go(func() {
			c := newCaller(env.record, host.front)
			defer c.close()
			c.send(attempts[i])
		})
	}
	time.Sleep(100 * time.Millisecond)
	s.fleet.terminate(host)
	if env.trouble {
		time.Sleep(secondStopAfter)
		s.fleet.terminate(host)
	}
	consumers.Wait()
	time.Sleep(settleTime)
	lost := 0
	runs := s.ledger.byID()
	for _, a := range attempts {
		if a.status == 0 && len(runs[a.id]) > 0 {
			lost++
			env.record.add("request %s was passed on and its connection was closed after %d ms without an answer", a.id, a.endedAt.Sub(a.sentAt).Milliseconds())
		}
	}
	env.record.add("LOST: %d of %d requests that were passed on got no answer", lost, len(attempts))
	return lost > 0, nil
}
