// Package caller is a client for Go programs that call services through
// curranttiller, a load balancer. The hosts that run it are the entry hosts.
//
// The client requests the directory of a service from any entry host. The
// directory lists the entry hosts to use for that service and is cached for the
// time that it states. The client submits requests to these entry hosts, which
// send them to the targets, the backend servers of the service. If an entry host
// fails, the client submits the request to another one if that is safe.
//
// That is always safe for GET and HEAD. Any other request gets an idempotency key, which
// makes it safe. The key has a home, one run of the process of an entry host. Only the
// home runs the request, and at most once (package settle). Every response and error has
// a verdict, which says whether the request ran at a target (package fault).
package caller
