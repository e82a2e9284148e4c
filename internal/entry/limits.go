package entry

import (
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

const (
	// statedInAnswer and statedInProbe are the sources of a limit or departure that this host
	// got from the target itself. Otherwise the source is the name of the host that sent it.
	statedInAnswer = "Answer"
	statedInProbe  = "Probe"
	// statementWarningPeriod is the least time between two warnings about what a target states.
	statementWarningPeriod = 10 * time.Second
	// maxSharedLimits is about the largest number of limits in a beacon, which take a kB. If
	// there are more, successive beacons carry different ones.
	maxSharedLimits = 64
)

// recordStatement counts what an answer of a target states about its limit, and warns if that
// is unusual.
func (s *service) recordStatement(target string, named limit.Named, source string) {
	if named == (limit.Named{}) {
		return
	}
	if named.PerSecond > 0 {
		s.limitCounter(source).Inc()
	}
	if named.Problem == "" {
		return
	}
	s.metrics.unusualLimits.Inc()
	now := time.Now()
	s.mu.Lock()
	isDue := now.Sub(s.limitWarnedAt[target]) >= statementWarningPeriod
	if isDue {
		s.limitWarnedAt[target] = now
	}
	s.mu.Unlock()
	if isDue {
		s.daemon.platLog.Warn("target states an unusual limit",
			"Service", s.name, "Target", target, "Problem", named.Problem, "Text", named.Text, "PerSecond", named.PerSecond, "Source", source)
	}
}

func (s *service) limitCounter(source string) *metrics.Counter {
	if source == statedInProbe {
		return s.metrics.limitedProbes
	}
	return s.metrics.limitedAnswers
}

// announceLimitChanges logs the changes of limits since the last call and makes the beacon
// loop tell them to other hosts; s.mu is held.
func (s *service) announceLimitChanges(now time.Time, source string) {
	for _, change := range s.pool.TakeLimitChanges() {
		s.daemon.sharing.announce()
		s.logLimitChange(now, &change, source)
	}
}

func (s *service) logLimitChange(now time.Time, change *choose.TargetLimit, source string) {
	s.daemon.platLog.Info("limit of a target changed",
		slog.String("Service", s.name),
		slog.String("Target", change.Target),
		slog.Float64("PerSecond", change.State.PerSecond),
		slog.Int64("AgeMillis", now.Sub(change.State.At).Milliseconds()),
		slog.String("Source", source),
	)
	s.daemon.events.Add(event.Event{Kind: "TargetLimit", Service: s.name, Target: change.Target, Cause: source})
}

// mergeLimits passes what another host knows of the limits of the service's targets to
// the pool, and reports whether a limit has changed. Unknown targets are ignored.
func (s *service) mergeLimits(now time.Time, host string, received *beacon.ServiceLimits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := make([]choose.TargetLimit, 0, len(received.Targets))
	for _, l := range received.Targets {
		if name, found := s.targetsByID[l.ID]; found {
			limits = append(limits, choose.TargetLimit{Target: name, State: limit.State{PerSecond: l.PerSecond, At: now.Add(-l.Age)}})
		}
	}
	actions, isChanged := s.pool.ReceiveLimits(now, limits)
	s.deliverActions(actions)
	for _, change := range s.pool.TakeLimitChanges() {
		s.logLimitChange(now, &change, host)
	}
	return isChanged
}

// knownLimits returns what this host knows of the limits of the service's targets.
func (s *service) knownLimits(now time.Time) []beacon.TargetLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.pool.Limits(now)
	limits := make([]beacon.TargetLimit, 0, len(known))
	for _, l := range known {
		limits = append(limits, beacon.TargetLimit{ID: beacon.TargetID(l.Target), PerSecond: l.State.PerSecond, Age: now.Sub(l.State.At)})
	}
	return limits
}

// updateLimitGauge counts the limits in force for the metric; s.mu is held.
func (s *service) updateLimitGauge(now time.Time) {
	inForce := int64(0)
	for _, l := range s.pool.Limits(now) {
		if l.State.IsInForce() {
			inForce++
		}
	}
	s.limitsInForce.Store(inForce)
}

// sharedLimits tells other hosts the limits that targets name.
type sharedLimits struct {
	// turn counts the beacons with limits. Only the beacon loop uses it.
	turn uint64
}

// share implements sharer.
func (l *sharedLimits) share(now time.Time, services []*service, message beacon.Message) beacon.Message {
	l.turn++
	return message.WithLimits(selectLimits(limitsOf(now, services), l.turn))
}

// learn implements sharer.
func (l *sharedLimits) learn(now time.Time, services serviceLookup, message *beacon.Message) bool {
	isChanged := false
	for i := range message.Limits {
		if s := services(message.Limits[i].Service); s != nil && s.mergeLimits(now, message.Sender, &message.Limits[i]) {
			isChanged = true
		}
	}
	return isChanged
}

// limitsOf returns the limits of the targets of all services.
func limitsOf(now time.Time, services []*service) []beacon.ServiceLimits {
	var all []beacon.ServiceLimits
	for _, s := range services {
		if limits := s.knownLimits(now); len(limits) > 0 {
			all = append(all, beacon.ServiceLimits{Service: s.name, Targets: limits})
		}
	}
	return all
}

// selectLimits divides the limits into parts of about maxSharedLimits, and returns the part
// whose turn it is. Successive turns go through all parts.
func selectLimits(all []beacon.ServiceLimits, turn uint64) []beacon.ServiceLimits {
	total := 0
	for i := range all {
		total += len(all[i].Targets)
	}
	parts := uint64((total + maxSharedLimits - 1) / maxSharedLimits)
	if parts <= 1 {
		return all
	}
	for i := range all {
		all[i].Targets = slices.DeleteFunc(slices.Clone(all[i].Targets), func(l beacon.TargetLimit) bool {
			return uint64(l.ID)%parts != turn%parts
		})
	}
	return all
}

// updateFleetSize passes the number of entry hosts to the pools; d.mu is held.
func (d *Daemon) updateFleetSize(now time.Time) {
	known, alive := member.FleetSize(d.members.Members(now), d.settings.FailureDomain, strongestShared)
	// A host that has found no others may be cut off from the hosts that its settings name.
	d.knownHosts = max(known, len(d.settings.Peers))
	d.reachedHosts = alive
	for _, s := range d.services {
		s.mu.Lock()
		s.pool.SetFleetSize(d.knownHosts, d.reachedHosts)
		s.mu.Unlock()
	}
}
