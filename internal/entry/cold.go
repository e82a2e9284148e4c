package entry

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

const (
	// coldKind is the kind of shared facts about what targets state of their warm-up. The
	// value is the time until the target was warm, in ms, when this was known.
	coldKind = "Cold"
	// maxSharedCold is the largest number of such facts for a service in a beacon.
	maxSharedCold = 64
	// maxColdMillis bounds the values that are received.
	maxColdMillis = 60 * 60 * 1000
	// statedInList is the source of a change that follows from the list of targets.
	statedInList = "List"
	// assumedAfterErrors is the source of a change that follows from an ejection.
	assumedAfterErrors = "Errors"
)

// recordCold applies what the answer to a probe states about the warm-up of a target.
func (s *service) recordCold(name string, sent time.Time, stated target.Cold) {
	if !stated.IsStated {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.ProbedCold(now, name, sent, stated.Left))
	s.announceColdChanges(now, statedInProbe)
}

// announceColdChanges logs the targets that have become cold or warm, and makes the beacon
// loop tell other hosts what targets have stated; s.mu is held.
func (s *service) announceColdChanges(now time.Time, source string) {
	for _, change := range s.pool.TakeColdChanges() {
		if source == statedInProbe {
			s.daemon.sharing.announce()
		}
		left := max(change.Until.Sub(now), 0)
		s.daemon.platLog.Info("target became cold or warm", "Service", s.name, "Target", change.Target, "ColdMillis", left.Milliseconds(), "Source", source)
		s.daemon.events.Add(event.Event{Kind: "TargetCold", Service: s.name, Target: change.Target, Cause: source})
	}
}

// sharedCold tells other hosts what targets state of their warm-up.
type sharedCold struct{}

// share implements sharer.
func (sharedCold) share(now time.Time, services []*service, message beacon.Message) beacon.Message {
	for _, s := range services {
		s.mu.Lock()
		states := s.pool.ColdStates(now)
		s.mu.Unlock()
		facts := beacon.SharedFacts{Kind: coldKind, Scope: s.name}
		for _, c := range states[:min(len(states), maxSharedCold)] {
			left := max(c.Until.Sub(c.At), 0)
			facts.Facts = append(facts.Facts, beacon.SharedFact{Subject: beacon.TargetID(c.Target), Value: uint64(left.Milliseconds()), Age: now.Sub(c.At)})
		}
		message = message.WithShared(facts)
	}
	return message
}

// learn implements sharer.
func (sharedCold) learn(now time.Time, services serviceLookup, message *beacon.Message) bool {
	isChanged := false
	for i := range message.Shared {
		received := &message.Shared[i]
		if received.Kind != coldKind {
			continue
		}
		if s := services(received.Scope); s != nil && s.mergeCold(now, message.Sender, received.Facts) {
			isChanged = true
		}
	}
	return isChanged
}

// mergeCold passes what targets have stated to another host to the pool, and reports whether
// a target has become cold or warm by it. Unknown targets are ignored.
func (s *service) mergeCold(now time.Time, host string, facts []beacon.SharedFact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]choose.ColdState, 0, len(facts))
	for _, f := range facts {
		if name, found := s.targetsByID[f.Subject]; found {
			at := now.Add(-f.Age)
			left := time.Duration(min(f.Value, maxColdMillis)) * time.Millisecond
			states = append(states, choose.ColdState{Target: name, Until: at.Add(left), At: at})
		}
	}
	actions, isChanged := s.pool.ReceiveCold(now, states)
	s.deliverActions(actions)
	s.announceColdChanges(now, host)
	return isChanged
}
