package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// settleTime is how long a case waits after the last request, so that late runs are seen.
const settleTime = 2 * time.Second

// scene is a fleet with its store and targets.
type scene struct {
	env     *environment
	store   *store
	fleet   *fleet
	ledger  *ledger
	targets []*target
}

// sceneOptions describe a scene.
type sceneOptions struct {
	hosts         int
	services      []string
	targetsEach   int
	slots         int
	work          time.Duration
	configuration []byte
	// prepare changes a target before it starts.
	prepare func(t *target)
}

// openScene starts the store, the targets and the entry hosts. The caller has to close
// the scene also after an error.
func openScene(env *environment, options *sceneOptions) (*scene, error) {
	s := &scene{env: env, ledger: &ledger{}}
	var err error
	if s.store, err = newStore(); err != nil {
		return s, err
	}
	for _, service := range options.services {
		for i := range options.targetsEach {
			id := fmt.Sprintf("i-%s-%d", service, i+1)
			t, err := newTarget(id, service, string(rune('a'+i%3)), options.slots, options.work, s.ledger, env.record)
			if err != nil {
				return s, err
			}
			if options.prepare != nil {
				options.prepare(t)
			}
			t.start()
			s.targets = append(s.targets, t)
			s.store.put("keyed.servers", t.id, t.registration("ready", 1))
		}
	}
	s.store.put("keyed.op", "config", options.configuration)
	s.fleet, err = startFleet(env, s.store, options.hosts)
	if err == nil {
		time.Sleep(settleTime)
	}
	return s, err
}

func (s *scene) close() {
	if s.fleet != nil {
		s.fleet.close()
	}
	for _, t := range s.targets {
		t.close()
	}
	if s.store != nil {
		s.store.close()
	}
}

// countTwice records and counts the requests that ran more than once.
func (s *scene) countTwice() int {
	twice := 0
	for id, runs := range s.ledger.byID() {
		if len(runs) > 1 {
			twice++
			s.env.record.add("request %s ran %d times: at %s and %s, %d ms apart", id, len(runs), runs[0].target, runs[1].target, runs[1].at.Sub(runs[0].at).Milliseconds())
		}
	}
	return twice
}

// window is a period in which a disruption lasts. It is safe for concurrent use, and
// closed until open is called.
type window struct {
	isOpen atomic.Bool
}

// open opens the window for the given time and returns at its end.
func (w *window) open(record *recorder, name string, length time.Duration) {
	record.add("disruption begins: %s", name)
	w.isOpen.Store(true)
	time.Sleep(length)
	w.isOpen.Store(false)
	record.add("disruption ends: %s", name)
}

// attemptList collects attempts. It is safe for concurrent use.
type attemptList struct {
	mu  sync.Mutex
	all []*attempt
}

func (l *attemptList) add(attempts ...*attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, attempts...)
}
