package limit

import "time"

const (
	// endShared is how long a state is shared after the target has last been known to name
	// no limit.
	endShared = 30 * time.Second
	// tolerance is by how much the state of another host must be newer to replace the own
	// one. Passing a state on between hosts makes it look newer by the network delay.
	tolerance = 50 * time.Millisecond
)

// State is what a host knows of the limit of a target.
type State struct {
	// PerSecond is the limit in requests a second; zero if none is in force.
	PerSecond float64
	// At is when the target last confirmed the state; zero if it never named a limit.
	At time.Time
}

// IsInForce reports whether the target names a limit.
func (s State) IsInForce() bool {
	return s.PerSecond > 0
}

// IsShared reports whether other hosts need the state.
func (s State) IsShared(now time.Time) bool {
	return s.IsInForce() || (!s.At.IsZero() && now.Sub(s.At) < endShared)
}

// isReplacedBy reports whether the state of another host is newer.
func (s State) isReplacedBy(received State) bool {
	if s.At.IsZero() {
		return received.IsInForce()
	}
	return received.At.Sub(s.At) > tolerance
}
