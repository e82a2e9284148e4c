// Package budget limits the events and the extra work of each host. The hosts don't
// exchange how much of a limit they have used.
//
// A [Share] is one host's fixed part of a limit on the number of events in a time
// window, such as the probes of a target. The limit of all hosts holds if their shares
// add up to no more than that. A [RetryBudget] limits the extra work of one host, such
// as retries and hedges, to a fraction of its regular work. Both are token buckets that
// start empty, so that a restarted host can't exceed the limit with a burst. The bucket
// of a Share holds only one token, so neither can a host that was paused. They are not
// safe for concurrent use.
package budget
