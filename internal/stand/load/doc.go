// Package load generates requests through entry hosts and checks their outcomes.
//
// The generator is open-loop. It sends each request at its scheduled time, whether or
// not earlier requests have been answered, and measures latency from the scheduled
// time, so that the results have no coordinated omission. After a run it compares what
// callers were told about each request, the verdict, with the targets' own records of
// what ran. The verdict of a request is that it ran, did not run, or may have run.
package load
