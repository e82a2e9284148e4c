package entry

import (
	"log/slog"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// limitSource says from which kind of answer a host learned of a target's limit.
type limitSource string

const (
	limitFromAnswer limitSource = "Answer"
	limitFromProbe  limitSource = "Probe"
)

// noteLimit counts what an answer of a target states about its limit, and logs changes.
func (s *service) noteLimit(target string, named limit.Named, source limitSource) {
	if named.PerSecond > 0 {
		s.limitCounter(source).Inc()
	}
	if !named.IsUsable() {
		s.metrics.unusableLimits.Inc()
	}
	s.mu.Lock()
	previous := s.lastNamed[target]
	if source == limitFromProbe && named == (limit.Named{}) {
		// Targets need not state their limit in answers to probes.
		named = previous
	}
	if named == (limit.Named{}) {
		delete(s.lastNamed, target)
	} else {
		s.lastNamed[target] = named
	}
	s.mu.Unlock()
	if named != previous {
		s.logLimit(target, previous, named, source)
	}
}

func (s *service) limitCounter(source limitSource) interface{ Inc() } {
	if source == limitFromProbe {
		return s.metrics.limitedProbes
	}
	return s.metrics.limitedAnswers
}

func (s *service) logLimit(target string, previous, named limit.Named, source limitSource) {
	fields := []any{
		slog.String("Service", s.name),
		slog.String("Target", target),
		slog.Float64("PreviousPerSecond", previous.PerSecond),
		slog.Float64("PerSecond", named.PerSecond),
		slog.String("Source", string(source)),
	}
	if named.Problem != "" {
		s.daemon.platLog.Warn("target states an unusual limit", append(fields, slog.String("Problem", named.Problem), slog.String("Text", named.Text))...)
		return
	}
	s.daemon.platLog.Info("limit of a target changed", fields...)
	s.daemon.events.Add(event.Event{Kind: "TargetLimit", Service: s.name, Target: target, Cause: string(source)})
}
