package facts

import "time"

// ReadSchedule decides when a host reads a topic itself. Hosts that callers are steered
// to stand in a line; the first reads all the time, and each next one only if
// its knowledge has not been confirmed for longer. The others come after them,
// spread over a time in which the first of them that succeeds can tell the rest.
type ReadSchedule struct {
	// Period is the time between two reads of the first host in line.
	Period time.Duration
	// Grace is how much longer than Period the second host waits.
	Grace time.Duration
	// Step is how much longer each further host waits.
	Step time.Duration
	// Max bounds the wait of a host in the line.
	Max time.Duration
	// Spread is the time over which the hosts outside the line are spread.
	Spread time.Duration
	// StartupMax is how long fresh hosts wait that do not know the line yet.
	StartupMax time.Duration
}

// UnrankedDue returns the age of knowledge from which a host outside the line
// reads itself; lot is a number between zero and one that differs between hosts.
func (t ReadSchedule) UnrankedDue(lot float64, isLineKnown bool) time.Duration {
	due := t.Max
	if !isLineKnown {
		due = t.StartupMax
	}
	return due + time.Duration(lot*float64(t.Spread))
}

// RankedDue returns the age of knowledge from which the host at a place reads itself.
func (t ReadSchedule) RankedDue(place int) time.Duration {
	if place == 0 {
		return t.Period
	}
	return min(t.Period+t.Grace+time.Duration(place-1)*t.Step, t.Max)
}
