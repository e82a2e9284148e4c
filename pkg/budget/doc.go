// Package budget limits the events and the extra work of hosts that don't communicate
// about their use.
//
// A [Share] is one host's fixed part of a limit on the number of events in a time
// window, such as the probes of a target. The limit of all hosts holds if their shares
// add up to no more than that. A [RetryBudget] limits the extra work of one host, such
// as retries and hedges, to a fraction of its regular work. Both are token buckets
// that start empty, so that a host that has just started or was paused can't exceed
// the limit with a burst. They are not safe for concurrent use.
package budget
