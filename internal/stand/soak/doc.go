// Package soak runs a fleet under a sequence of overlapping random faults, which a
// seed determines, and checks the guarantees about every request: an accepted
// answer is correct and complete, no non-idempotent request is executed twice, and
// a reported outcome of "not run" or "ran" agrees with what the targets recorded.
package soak
