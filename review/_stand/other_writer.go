package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is the bound drain-ms of the pages.
	drainTime = 2 * time.Second
	// otherWriterAfter is the time from the target's own report to the entry of the other writer.
	otherWriterAfter = time.Second
	// serveAfterDrain is how long the target serves after its report was accepted.
	serveAfterDrain      = 6 * time.Second
	otherWriterCallers   = 6
	otherWriterDuration  = 12 * time.Second
	otherWriterDrainFrom = 3 * time.Second
)

// runOtherWriter lets a target report that it is draining. Then another writer writes an
// entry under the target's key in which fields are missing, and which so names no target
// to use.
func runOtherWriter(env *environment) (bool, error) {
	s, err := openScene(env, &sceneOptions{
		hosts: 3, services: []string{serviceName}, targetsEach: 3, slots: 3, work: 150 * time.Millisecond,
		configuration: configuration(260, []rule{
			{name: orderRoute, prefix: orderPrefix, service: serviceName, kind: nonIdempotent, timeout: 600 * time.Millisecond, objective: 250 * time.Millisecond, maxAttempts: 2},
		}),
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	var consumers sync.WaitGroup
	var attempts attemptList
	began := time.Now()
	for i := range otherWriterCallers {
		consumers.Go(func() {
			c := newCaller(env.record, s.fleet.hosts[i%len(s.fleet.hosts)].front)
			defer c.close()
			for time.Since(began) < otherWriterDuration {
				a := newAttempt(http.MethodPost, orderPrefix+"run", 600*time.Millisecond)
				c.send(a)
				attempts.add(a)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	leaving := s.targets[0]
	time.Sleep(otherWriterDrainFrom)
	s.store.put("keyed.servers", leaving.id, leaving.registration("draining", 2))
	acked := time.Now()
	env.record.add("target %s reports draining, and the store has accepted it", leaving.id)
	if env.trouble {
		time.Sleep(otherWriterAfter)
		foreign, _ := json.Marshal(map[string]any{
			"addr":      leaving.listener.Addr().String(),
			"node-info": map[string]any{"service": leaving.service, "zone": leaving.zone, "capacity": leaving.slots},
			"status":    map[string]any{"state": "ready"},
		})
		s.store.put("keyed.servers", leaving.id, foreign)
		env.record.add("another writer writes an entry for %s without version, sequence and cold-left-ms", leaving.id)
	}
	time.Sleep(time.Until(acked.Add(serveAfterDrain)))
	env.record.add("target %s ends", leaving.id)
	leaving.close()
	consumers.Wait()
	late := make(map[string]bool)
	for _, r := range s.ledger.all() {
		if r.target == leaving.id && r.at.Sub(acked) > drainTime {
			late[r.id] = true
		}
	}
	lost := 0
	for _, a := range attempts.all {
		if late[a.id] && a.status != http.StatusOK {
			lost++
			env.record.add("order %s reached the target %s after it had to get no more, and got no success (status %d)", a.id, leaving.id, a.status)
		}
	}
	env.record.add("DRAIN: %d requests reached the draining target later than %d ms after its report was accepted; %d of these orders got no success", len(late), drainTime.Milliseconds(), lost)
	return len(late) > 0, nil
}
