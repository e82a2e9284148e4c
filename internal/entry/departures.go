package entry

import (
	"log/slog"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

// maxSharedDepartures is the largest number of leaving targets of a service in a beacon,
// those that were learned last.
const maxSharedDepartures = 32

// targetStartedAt returns when the listed instance of a target started, zero if that is not known.
func (s *service) targetStartedAt(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.TargetStartedAt(name)
}

// recordDeparture applies what an answer states about the leaving of a target, to which a
// request or probe was sent at the given time. It must be called before the answer is
// passed on.
func (s *service) recordDeparture(name string, startedAt, sent time.Time, stated target.Departure, source string) {
	if stated.Unusual != "" {
		s.warnOfDeparture(name, stated.Unusual, source)
	}
	if !stated.IsLeaving {
		return
	}
	s.metrics.leavingAnswers.Inc()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.ObserveDeparture(now, name, startedAt, sent))
	for _, change := range s.pool.TakeDepartureChanges() {
		s.daemon.sharing.announce()
		s.logDeparture(&change, source)
	}
}

// warnOfDeparture logs a statement that has no effect, at most once in statementWarningPeriod
// for each target.
func (s *service) warnOfDeparture(name, text, source string) {
	s.metrics.unusualDepartures.Inc()
	now := time.Now()
	s.mu.Lock()
	isDue := now.Sub(s.departureWarnedAt[name]) >= statementWarningPeriod
	if isDue {
		s.departureWarnedAt[name] = now
	}
	s.mu.Unlock()
	if isDue {
		s.daemon.platLog.Warn("target states in an unusual way that it leaves; ignoring it", "Service", s.name, "Target", name, "Text", text, "Source", source)
	}
}

func (s *service) logDeparture(change *choose.Departure, source string) {
	s.daemon.platLog.Info("target leaves",
		slog.String("Service", s.name),
		slog.String("Target", change.Target),
		slog.Int64("StartedUntilMillis", change.StartedUntil.UnixMilli()),
		slog.String("Source", source),
	)
	s.daemon.events.Add(event.Event{Kind: "TargetLeaving", Service: s.name, Target: change.Target, Cause: source})
}

// mergeDepartures passes the leaving targets that another host knows to the pool, and
// reports whether any was new. Unknown targets are ignored.
func (s *service) mergeDepartures(now time.Time, host string, received *beacon.ServiceDepartures) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	departures := make([]choose.Departure, 0, len(received.Targets))
	for _, d := range received.Targets {
		if name, found := s.targetsByID[d.ID]; found {
			departures = append(departures, choose.Departure{Target: name, StartedUntil: d.StartedUntil})
		}
	}
	actions, isChanged := s.pool.ReceiveDepartures(now, departures)
	s.deliverActions(actions)
	for _, change := range s.pool.TakeDepartureChanges() {
		s.logDeparture(&change, host)
	}
	return isChanged
}

// knownDepartures returns the leaving targets that a beacon carries.
func (s *service) knownDepartures() []beacon.TargetDeparture {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.pool.Departures()
	known = known[:min(len(known), maxSharedDepartures)]
	departures := make([]beacon.TargetDeparture, 0, len(known))
	for _, d := range known {
		departures = append(departures, beacon.TargetDeparture{ID: beacon.TargetID(d.Target), StartedUntil: d.StartedUntil})
	}
	return departures
}

// sharedDepartures tells other hosts which targets have said that they leave.
type sharedDepartures struct{}

// share implements sharer.
func (sharedDepartures) share(_ time.Time, services []*service, message beacon.Message) beacon.Message {
	var all []beacon.ServiceDepartures
	for _, s := range services {
		if departures := s.knownDepartures(); len(departures) > 0 {
			all = append(all, beacon.ServiceDepartures{Service: s.name, Targets: departures})
		}
	}
	return message.WithDepartures(all)
}

// learn implements sharer.
func (sharedDepartures) learn(now time.Time, services serviceLookup, message *beacon.Message) bool {
	isChanged := false
	for i := range message.Departures {
		if s := services(message.Departures[i].Service); s != nil && s.mergeDepartures(now, message.Sender, &message.Departures[i]) {
			isChanged = true
		}
	}
	return isChanged
}
