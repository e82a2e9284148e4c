// Package front is the HTTP server of an entry host for callers, the clients of the
// load balancer that speak its own protocol.
//
// Callers ask the directory, at /tiller/directory, which entry hosts to use for a
// service, and send their requests for the service to /svc/ followed by its name. The
// package checks the headers and the size of a request before it passes it on to a
// Handler. The answer to such a request carries a verdict, which says whether the request
// ran at a target, a backend server of the service.
package front
