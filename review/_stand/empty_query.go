package main

import (
	"net/http"
	"time"
)

const emptyQueryRequests = 50

// runEmptyQuery sends requests whose query is empty, and compares what the targets run.
func runEmptyQuery(env *environment) (bool, error) {
	s, err := openScene(env, &sceneOptions{
		hosts: 3, services: []string{serviceName}, targetsEach: 2, slots: 3, work: 20 * time.Millisecond,
		configuration: configuration(260, []rule{
			{name: "catalogue-view", prefix: "/catalogue/", service: serviceName, kind: idempotent, timeout: 500 * time.Millisecond, objective: 200 * time.Millisecond, maxAttempts: 2},
			{name: orderRoute, prefix: orderPrefix, service: serviceName, kind: nonIdempotent, timeout: 600 * time.Millisecond, objective: 250 * time.Millisecond, maxAttempts: 2},
		}),
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	suffix := "?colour=gold"
	if env.trouble {
		suffix = "?"
	}
	sent := make(map[string]string)
	for i := range emptyQueryRequests {
		a := newAttempt(http.MethodGet, "/catalogue/seals"+suffix, 500*time.Millisecond)
		if i%2 == 1 {
			a = newAttempt(http.MethodPost, orderPrefix+"run"+suffix, 600*time.Millisecond)
		}
		sent[a.id] = a.uri
		c := newCaller(env.record, s.fleet.hosts[i%len(s.fleet.hosts)].front)
		c.send(a)
		c.close()
	}
	time.Sleep(settleTime)
	changed := 0
	for _, r := range s.ledger.all() {
		if r.uri != sent[r.id] {
			changed++
			env.record.add("request %s was sent for %s and ran for %s", r.id, sent[r.id], r.uri)
		}
	}
	env.record.add("UNASKED: %d of %d runs had another path or query than was sent", changed, len(s.ledger.all()))
	return changed > 0, nil
}
