// Package platf simulates the platform on which entry hosts run, for tests and measurements.
//
// The platform provides two things. One is a set of append-only logs, called streams,
// whose records are removed after a retention period. Entry hosts read the
// configuration documents of the services from a stream. The other is a list of the
// entry hosts and targets with their state, whose changes become visible after a
// delay. POST /control sets faults, and GET /stats returns counters.
package platf
