// Package bench compares load balancing policies on a fleet of real processes.
//
// It measures each policy under each condition. A policy is a service document
// with particular steering and retry settings. A condition is an offered load
// together with the behaviour of the targets and an optional fault, which occurs
// after a third of the run. Each result is a Row, which also holds the latencies
// of an ideal central queue for the same requests without the fault. That queue
// serves requests in order of arrival. It sends each to the target with a free slot
// that will finish it first. While no slot is free, the request waits for the next
// one.
// Report plots the rows. docs/POLICY.md states what is expected of the policies.
package bench
