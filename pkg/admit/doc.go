// Package admit decides which connections of callers a process closes, and which requests
// it refuses, so that a crowd of callers can't take more memory or descriptors than it has.
//
// Load pattern: many connections that send heads or bodies without end, read no answers or
// send nothing, among ordinary callers whose requests are whole within moments. The least
// deserving connections go first: those with an unfinished head, then idle ones, then those
// whose body or answer has not moved for a second. A request that is whole is never cut.
// Expensive requests may use three quarters of the memory only, so that others have room.
//
// The package has no goroutine, clock or socket. Package front connects it to a server.
package admit
