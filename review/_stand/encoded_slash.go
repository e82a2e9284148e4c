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
	// lostShare is the share of its runs whose answers a faulty target loses, and
	// losingTargets of encodedTargets are faulty for lossTime.
	lostShare      = 0.05
	encodedTargets = 8
	losingTargets  = 4
	lossTime       = 4 * time.Second
	// calmTime is the time with load before and after the disruption.
	calmTime       = 4 * time.Second
	encodedCallers = 24
	encodedPause   = 50 * time.Millisecond
)

// runEncodedSlash sends orders whose path has an encoded slash, so that it begins with
// the prefix of the non-idempotent route and not with the longer one of the idempotent
// route. Some targets lose the answers to some of the requests that they ran.
func runEncodedSlash(env *environment) (bool, error) {
	var losing window
	faulty := 0
	s, err := openScene(env, &sceneOptions{
		hosts: 3, services: []string{serviceName}, targetsEach: encodedTargets, slots: 3, work: 60 * time.Millisecond,
		configuration: configuration(260, []rule{
			{name: orderRoute, prefix: "/orders/", service: serviceName, kind: nonIdempotent, timeout: 600 * time.Millisecond, objective: 250 * time.Millisecond, maxAttempts: 2},
			{name: "proof-view", prefix: "/orders/proof/", service: serviceName, kind: idempotent, timeout: 600 * time.Millisecond, objective: 250 * time.Millisecond, maxAttempts: 2},
		}),
		prepare: func(t *target) {
			if faulty++; faulty <= losingTargets {
				t.loseAnswer = func(*http.Request) bool { return losing.isOpen.Load() && rand.Float64() < lostShare }
			}
		},
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	var consumers sync.WaitGroup
	var isOver atomic.Bool
	for i := range encodedCallers {
		consumers.Go(func() {
			c := newCaller(env.record, s.fleet.hosts[i%len(s.fleet.hosts)].front)
			defer c.close()
			for number := 0; !isOver.Load(); number++ {
				c.send(newAttempt(http.MethodPost, fmt.Sprintf("/orders/proof%%2F%d-%d", i, number), 600*time.Millisecond))
				time.Sleep(encodedPause)
			}
		})
	}
	time.Sleep(calmTime)
	if env.trouble {
		losing.open(env.record, "some targets lose some answers", lossTime)
	}
	time.Sleep(calmTime)
	isOver.Store(true)
	consumers.Wait()
	time.Sleep(settleTime)
	twice := s.countTwice()
	env.record.add("TWICE: %d of %d requests on the non-idempotent route that ran have run more than once", twice, len(s.ledger.byID()))
	return twice > 0, nil
}
