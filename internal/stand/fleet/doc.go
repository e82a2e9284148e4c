// Package fleet starts a whole system as processes on loopback addresses, for demos,
// tests and measurements.
//
// A system consists of entry hosts, which balance the requests of callers over the
// targets of services, simulated targets, a simulated platform, which holds the list of
// hosts and the services' configuration documents, and a proxy that injects network
// faults. All connections between these processes pass through the proxy, except those
// that use the admin addresses of the entry hosts. Tests send faults and other commands
// directly to the platform, the proxy and the targets.
package fleet
