package entry

import (
	"log/slog"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

const (
	// holdOffKind is the kind of shared facts about targets that hold off the sender. The
	// value is the time left in ms.
	holdOffKind = "HoldOff"
	// maxAdvice bounds the time for which another host's hold-off counts.
	maxAdvice = 10 * time.Second
)

// recordHoldOff applies what an answer states about the time for which a target wants no
// requests. It must be called before the pool learns of the end of the attempt.
func (s *service) recordHoldOff(name string, startedAt time.Time, stated choose.HoldOff, source string) {
	if stated == (choose.HoldOff{}) {
		return
	}
	if stated.Problem != "" {
		s.warnOfHoldOff(name, stated, source)
	}
	if stated.For == 0 {
		return
	}
	s.metrics.holdOffs.Inc()
	now := time.Now()
	s.mu.Lock()
	isNew := s.pool.ObserveHoldOff(now, name, startedAt, stated.For)
	s.mu.Unlock()
	if !isNew {
		return
	}
	s.daemon.sharing.announce()
	s.daemon.platLog.Info("target wants no requests for a time",
		slog.String("Service", s.name),
		slog.String("Target", name),
		slog.Int64("Millis", stated.For.Milliseconds()),
		slog.String("Source", source),
	)
	s.daemon.events.Add(event.Event{Kind: "TargetHoldsOff", Service: s.name, Target: name, Cause: source})
}

// warnOfHoldOff logs an unusual time, at most once in statementWarningPeriod for each target.
func (s *service) warnOfHoldOff(name string, stated choose.HoldOff, source string) {
	s.metrics.unusualHoldOffs.Inc()
	now := time.Now()
	s.mu.Lock()
	isDue := now.Sub(s.holdOffWarnedAt[name]) >= statementWarningPeriod
	if isDue {
		s.holdOffWarnedAt[name] = now
	}
	s.mu.Unlock()
	if isDue {
		s.daemon.platLog.Warn("target names an unusual time for which it wants no requests",
			"Service", s.name, "Target", name, "Problem", stated.Problem, "Text", stated.Text, "AppliedMillis", stated.For.Milliseconds(), "Source", source)
	}
}

// holdOffWait returns the time until a target may get a request, zero unless all of them
// hold off this host.
func (s *service) holdOffWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.HoldOffWait(time.Now())
}

// sharedHoldOffs tells other hosts which targets hold off this one. Only what targets have
// told this host itself is sent, so that a time can't grow by being passed around.
type sharedHoldOffs struct{}

// share implements sharer.
func (sharedHoldOffs) share(now time.Time, services []*service, message beacon.Message) beacon.Message {
	for _, s := range services {
		s.mu.Lock()
		held := s.pool.HeldOff(now)
		s.mu.Unlock()
		facts := beacon.SharedFacts{Kind: holdOffKind, Scope: s.name}
		for _, h := range held[:min(len(held), maxSharedDepartures)] {
			facts.Facts = append(facts.Facts, beacon.SharedFact{Subject: beacon.TargetID(h.Target), Value: uint64(h.Left.Milliseconds())})
		}
		message = message.WithShared(facts)
	}
	return message
}

// learn implements sharer. The advice is not passed on.
func (sharedHoldOffs) learn(now time.Time, services serviceLookup, message *beacon.Message) bool {
	for i := range message.Shared {
		received := &message.Shared[i]
		if received.Kind != holdOffKind {
			continue
		}
		if s := services(received.Scope); s != nil {
			s.adviseHoldOffs(now, received.Facts)
		}
	}
	return false
}

func (s *service) adviseHoldOffs(now time.Time, facts []beacon.SharedFact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range facts {
		left := time.Duration(min(f.Value, uint64(maxAdvice.Milliseconds()))) * time.Millisecond
		if name, found := s.targetsByID[f.Subject]; found {
			s.pool.AdviseHoldOff(name, now.Add(left-f.Age))
		}
	}
}
