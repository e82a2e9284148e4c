package member

import (
	"slices"
	"time"
)

const (
	// minStablePeriod is how long the hosts that share the work must have stayed the same for them to count as known: two rounds of introductions.
	minStablePeriod = 400 * time.Millisecond
	// maxJoinTime bounds the wait of a host that finds nobody, or many that start at the same time.
	maxJoinTime = 3 * time.Second
)

// JoinPhase tells when a fresh host knows enough others to act on their number. A
// host that has met nobody yet would take itself for the only one, and do the
// work of all: name itself to callers, measure every target, read for everyone.
type JoinPhase struct {
	startedAt time.Time
	changedAt time.Time
	sharing []string
	isOver    bool
	// endedAt is when the host was first seen to be endedAt; zero for one that always was.
	endedAt time.Time
}

// NewJoinPhase returns the state of a host that starts now; one that has nobody to meet is settled.
func NewJoinPhase(now time.Time, isAlone bool) JoinPhase {
	return JoinPhase{startedAt: now, changedAt: now, isOver: isAlone}
}

// Update takes the hosts that would share the work by what is known now, and
// reports whether the host is settled; it stays so.
func (s *JoinPhase) Update(now time.Time, sharing []string) bool {
	if !slices.Equal(sharing, s.sharing) {
		s.sharing = slices.Clone(sharing)
		s.changedAt = now
	}
	isKnown := len(s.sharing) > 1 && now.Sub(s.changedAt) >= minStablePeriod
	if !s.isOver && (isKnown || now.Sub(s.startedAt) >= maxJoinTime) {
		s.isOver = true
		s.endedAt = now
	}
	return s.isOver
}

// IsOver reports whether the host was settled when it was last looked at.
func (s *JoinPhase) IsOver() bool {
	return s.isOver
}

// IsOverFor reports whether the host has been settled for a time.
func (s *JoinPhase) IsOverFor(now time.Time, least time.Duration) bool {
	return s.isOver && now.Sub(s.endedAt) >= least
}
