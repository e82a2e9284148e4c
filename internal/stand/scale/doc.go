// Package scale measures the cost of the load balancer itself.
//
// Run measures the cost of control, which is everything that entry hosts do apart
// from forwarding requests: exchanging state with each other, reading the
// platform's log and host list, and applying documents. It covers several numbers
// of hosts, services and targets. Overhead measures the latency and the processor
// time that one entry host adds to a request. The results go into docs/CAPACITY.md.
package scale
