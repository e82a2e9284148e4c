// Package load generates requests through entry hosts and checks their outcomes.
//
// The generator is open-loop. It sends each request at its scheduled time, whether or
// not earlier requests have been answered, and measures latency from the scheduled
// time, so that the results have no coordinated omission. Targets are the backend
// servers that process the requests. Each outcome has a verdict, which is that the
// request ran at a target, did not run, or may have run. After a run the generator
// compares the verdicts with the targets' own records of what ran.
package load
