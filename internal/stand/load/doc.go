// Package load generates requests through entry hosts and checks their outcomes.
//
// The generator is open-loop. It sends each request at its scheduled time, whether or
// not earlier requests have been answered, and measures latency from the scheduled
// time, so that the results have no coordinated omission. Each response has a verdict,
// which says that the request ran, did not run, or may have run at a target, that is, at
// a backend server. After a run the generator compares the verdicts with the targets' own
// records of what ran.
package load
