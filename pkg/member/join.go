package member

import (
	"slices"
	"time"
)

const (
	// minStablePeriod is how long the steered hosts must have stayed the same for the table to count as settled. In that time a starting host exchanges tables twice.
	minStablePeriod = 400 * time.Millisecond
	// maxJoinTime bounds the join phase of a host that finds no others, or many that start at the same time.
	maxJoinTime = 3 * time.Second
)

// JoinPhase is the time after the start of a host until its membership table has
// settled. The table then gives at least two steered hosts, and they have stayed the
// same for minStablePeriod, so that the work can be divided among them. The phase also
// ends after maxJoinTime. During the phase the host must not compute the division from
// its table. With no other member in it, the host would direct all callers to itself,
// measure every target and read the store for all hosts.
type JoinPhase struct {
	startedAt time.Time
	changedAt time.Time
	steered   []string
	isOver    bool
	// endedAt is the time of the Update that ended the phase; zero if the phase was skipped.
	endedAt time.Time
}

// NewJoinPhase returns the join phase of a host that starts now. isSkipped ends it at
// once, for a host that has no other members to wait for.
func NewJoinPhase(now time.Time, isSkipped bool) JoinPhase {
	return JoinPhase{startedAt: now, changedAt: now, isOver: isSkipped}
}

// Update must be called with the names of the steered hosts that the current table
// gives. It reports whether the join phase is over. Once it is over, it stays so.
func (p *JoinPhase) Update(now time.Time, steered []string) bool {
	if !slices.Equal(steered, p.steered) {
		p.steered = slices.Clone(steered)
		p.changedAt = now
	}
	isSettled := len(p.steered) > 1 && now.Sub(p.changedAt) >= minStablePeriod
	if !p.isOver && (isSettled || now.Sub(p.startedAt) >= maxJoinTime) {
		p.isOver = true
		p.endedAt = now
	}
	return p.isOver
}

// IsOver reports whether the join phase was over at the last Update.
func (p *JoinPhase) IsOver() bool {
	return p.isOver
}

// IsOverFor reports whether the join phase has been over for at least a duration.
func (p *JoinPhase) IsOverFor(now time.Time, atLeast time.Duration) bool {
	return p.isOver && now.Sub(p.endedAt) >= atLeast
}
