package facts

import "time"

// ReadSchedule gives the age of a topic from which a host reads it from the store.
// Steered hosts, to which callers are directed, have a rank. The host of rank zero
// reads all the time. Each next one reads only if the reports of other hosts have
// not kept the age below a larger limit. The limits of hosts without a rank are
// larger still and spread out, so that the first one that reads the store can
// confirm the topic to the others before their own limits are reached.
type ReadSchedule struct {
	// Period is the time between two reads of the host of rank zero.
	Period time.Duration
	// Grace is how much longer than Period the limit of the host of rank one is.
	Grace time.Duration
	// Step is how much longer the limit of each further rank is.
	Step time.Duration
	// Max bounds the limits of hosts with a rank, and is the least limit of those without.
	Max time.Duration
	// Spread is the width of the range over which the limits of hosts without a rank are spread.
	Spread time.Duration
	// StartupMax replaces Max for a host without a rank that started so recently that
	// it may not have received reports of ranked hosts yet.
	StartupMax time.Duration
}

// UnrankedReadAge returns the age of the topic from which a host without a rank reads it.
// The jitter is between zero and one and differs between hosts. The flag says that
// the host has run long enough to have received reports of ranked hosts.
func (s ReadSchedule) UnrankedReadAge(jitter float64, expectsReports bool) time.Duration {
	age := s.Max
	if !expectsReports {
		age = s.StartupMax
	}
	return age + time.Duration(jitter*float64(s.Spread))
}

// RankedReadAge returns the age of the topic from which the host with a rank reads it.
func (s ReadSchedule) RankedReadAge(rank int) time.Duration {
	if rank == 0 {
		return s.Period
	}
	return min(s.Period+s.Grace+time.Duration(rank-1)*s.Step, s.Max)
}
