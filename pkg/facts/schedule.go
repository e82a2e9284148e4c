package facts

import "time"

// ReadSchedule gives the age of a topic from which a host reads it from the store.
// Steered hosts, to which callers are directed, have a rank. The host of rank zero
// reads from the age Period on. The age from which each next one reads is larger or equal,
// and the reports of the hosts before it normally keep the topic below that age. The
// ages of hosts without a rank are at least as large as all of these. They are spread
// out, so that the first one that reads the store can confirm the topic to the others
// before they read it too.
type ReadSchedule struct {
	// Period is the age of the topic from which the host of rank zero reads it again.
	Period time.Duration
	// Grace is how much larger than Period the age for rank one is.
	Grace time.Duration
	// Step is how much larger the age for each further rank is than for the rank before.
	Step time.Duration
	// Max is the largest age for hosts with a rank, and the least one for those without.
	Max time.Duration
	// Spread is the width of the range over which the ages for hosts without a rank are spread.
	Spread time.Duration
	// StartupMax replaces Max for a host without a rank that started so recently that
	// it may not have received reports of ranked hosts yet.
	StartupMax time.Duration
}

// UnrankedReadAge returns the age of the topic from which a host without a rank reads it.
// jitter is between zero and one and differs between hosts. expectsReports says that
// the host has run long enough to have received reports of ranked hosts.
func (s ReadSchedule) UnrankedReadAge(jitter float64, expectsReports bool) time.Duration {
	age := s.Max
	if !expectsReports {
		age = s.StartupMax
	}
	return age + time.Duration(jitter*float64(s.Spread))
}

// RankedReadAge returns the age of the topic from which the host with the given rank reads it.
func (s ReadSchedule) RankedReadAge(rank int) time.Duration {
	if rank == 0 {
		return s.Period
	}
	return min(s.Period+s.Grace+time.Duration(rank-1)*s.Step, s.Max)
}
