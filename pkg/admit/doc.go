// Package admit decides which connections of callers a process closes, and which requests
// it refuses, so that a crowd of callers can't take more memory or descriptors than it has.
//
// Load pattern: many connections that send heads or bodies without end or a byte at a time,
// read no answers or hardly any, or send nothing, among ordinary callers whose requests are
// whole within moments. The least deserving connections go first: those with an unfinished
// head, then idle ones, then those that move fewer than 8 KiB of their body or answer a
// second while the host waits for them. Bytes earn time, so that a client that moves them
// steadily keeps its place, in however large pieces they arrive. A request that is whole is
// never cut. Expensive requests may use three quarters of the memory only, so that others
// have room.
//
// The package has no goroutine, clock or socket. Package gate connects it to a server.
package admit
