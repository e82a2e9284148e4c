// Package bench compares load balancing policies on a fleet of real processes.
//
// It runs every policy under every condition. A policy is a service document
// with particular steering and retry settings. A condition is an offered load
// together with the behaviour of the targets and an optional fault, which occurs
// after a third of the run. Each result is a Row, which also holds the latencies
// of an ideal central queue. That queue serves the same requests in order of
// arrival, and gives each to the free target that will finish it first or, if none
// is free, to the first target with a free slot.
// Report plots the rows. docs/POLICY.md states what is expected of the policies.
package bench
