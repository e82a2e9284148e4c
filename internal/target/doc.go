// Package target sends requests to targets, the backend servers of a service, over HTTP.
//
// A Client sends attempts to the targets of one service. An attempt is one try of a
// caller's request at one target. Its verdict says whether the target may have run the
// work. NotRun means that it certainly did not, so that even a request that must not
// run twice can be sent again. Ran means that it certainly did, and MayHaveRun that
// this is unknown.
//
// The client uses net/http but keeps it from repeating a request on its own, see
// unrepeatableBody, and tracks whether any byte of an attempt was written to the
// connection, see trackedConn.
//
// Targets may speak different protocols on top of HTTP. A Protocol sets the headers of
// attempts and interprets those of answers for one of them. An answer may
// carry a report of the target's load, which is the number of requests that run and
// wait there. A probe is a small request for such a report. docs/TARGET.md states what
// is required of targets.
package target
