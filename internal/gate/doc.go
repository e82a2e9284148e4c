// Package gate connects package admit to the servers of a process: it bounds the
// connections that clients open, and what the process holds for them.
//
// A Gate wraps the listeners of one or more HTTP servers. It counts the heads of requests
// while they arrive, follows the phase of each connection, and gives each request an
// account on which bodies and answers are counted. Servers that share a gate share its
// limits.
package gate
