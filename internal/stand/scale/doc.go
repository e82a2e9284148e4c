// Package scale measures the cost of the load balancer itself.
//
// Run measures the cost of control, which is what entry hosts do apart from
// forwarding requests, such as exchanging state with each other, reading the
// platform's log and host list, and applying documents. It covers several numbers
// of hosts, services and targets. Overhead measures the latency that one entry host
// adds to a request and the requests per second that it forwards per core. The
// results go into docs/CAPACITY.md.
package scale
