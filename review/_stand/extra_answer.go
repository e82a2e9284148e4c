package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// repeatShare is the share of its answers that a faulty target sends twice, and
	// faultyTargets of extraTargets are faulty. A disruption lasts repeatTime, and there
	// are repeatWindows of them with repeatPause in between.
	repeatShare   = 0.03
	extraTargets  = 12
	faultyTargets = 7
	repeatTime    = 5 * time.Second
	repeatWindows = 4
	repeatPause   = 5 * time.Second
	extraHosts    = 5
	// extraConsumers send orders at the same moments, once in clumpPeriod.
	extraConsumers = 120
	clumpPeriod    = 400 * time.Millisecond
	// extraMaxConns is the number of connections that a target of the small deployment accepts.
	extraMaxConns = 60
	orderDeadline = 600 * time.Millisecond
	// retryAfter is the wait of a consumer before it sends a refused order again. It is
	// below a third of the time that it has left.
	retryAfter = 100 * time.Millisecond
)

// runExtraAnswer lets some of the targets send some of its answers a second time. The
// copy of an answer to a request that it shed carries no id, as such answers do on the
// pages.
func runExtraAnswer(env *environment) (bool, error) {
	var repeating window
	faulty := 0
	s, err := openScene(env, &sceneOptions{
		hosts: extraHosts, services: []string{serviceName}, targetsEach: extraTargets, slots: 3, work: 78 * time.Millisecond,
		configuration: configuration(extraMaxConns, []rule{
			{name: orderRoute, prefix: orderPrefix, service: serviceName, kind: nonIdempotent, timeout: orderDeadline, objective: 250 * time.Millisecond, maxAttempts: 2},
		}),
		prepare: func(t *target) {
			if faulty++; faulty <= faultyTargets {
				t.repeatAnswer = func() bool { return repeating.isOpen.Load() && rand.Float64() < repeatShare }
			}
		},
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	var consumers sync.WaitGroup
	var attempts attemptList
	var isOver atomic.Bool
	began := time.Now()
	for i := range extraConsumers {
		consumers.Go(func() {
			c := newCaller(env.record, s.fleet.hosts[i%len(s.fleet.hosts)].front)
			defer c.close()
			for clump := 0; !isOver.Load(); clump++ {
				time.Sleep(time.Until(began.Add(time.Duration(clump) * clumpPeriod)))
				attempts.add(sendOrder(c, fmt.Sprintf("%sorder-%d-%d", orderPrefix, i, clump))...)
			}
		})
	}
	for range repeatWindows {
		time.Sleep(repeatPause)
		if env.trouble {
			repeating.open(env.record, "some targets send some answers twice", repeatTime)
		} else {
			time.Sleep(repeatTime)
		}
	}
	isOver.Store(true)
	consumers.Wait()
	time.Sleep(settleTime)
	countFalselyRefused(s, attempts.all)
	twice := s.countTwice()
	env.record.add("TWICE: %d of %d non-idempotent requests that ran have run more than once", twice, len(s.ledger.byID()))
	return twice > 0, nil
}

// sendOrder sends an order, and once more after a refusal, as the pages allow it. It
// returns the attempts.
func sendOrder(c *caller, uri string) []*attempt {
	first := newAttempt(http.MethodPost, uri, orderDeadline)
	c.send(first)
	if first.status != http.StatusServiceUnavailable {
		return []*attempt{first}
	}
	time.Sleep(retryAfter)
	left := orderDeadline - time.Since(first.sentAt)
	if left <= 0 {
		return []*attempt{first}
	}
	c.close()
	again := newAttempt(http.MethodPost, uri, left)
	c.send(again)
	return []*attempt{first, again}
}

// countFalselyRefused records and counts the non-idempotent attempts that were answered
// 503 and have run. It also records which orders were carried out twice because of that.
func countFalselyRefused(s *scene, attempts []*attempt) {
	runs := s.ledger.byID()
	runsOfOrder := make(map[string]int)
	for _, r := range s.ledger.all() {
		runsOfOrder[r.uri]++
	}
	refused, repeated := 0, 0
	for _, a := range attempts {
		if a.status != http.StatusServiceUnavailable || len(runs[a.id]) == 0 {
			continue
		}
		refused++
		s.env.record.add("request %s was answered 503 and ran at %s", a.id, runs[a.id][0].target)
		if runsOfOrder[a.uri] > 1 {
			repeated++
			s.env.record.add("its order %s was carried out %d times", a.uri, runsOfOrder[a.uri])
		}
	}
	s.env.record.add("REFUSED: %d of %d non-idempotent requests were answered 503 and have run; %d of these orders were carried out twice", refused, len(attempts), repeated)
}
