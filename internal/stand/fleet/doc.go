// Package fleet starts a whole system as processes on loopback addresses, for demos,
// tests and measurements.
//
// A system consists of entry hosts, simulated targets, a simulated platform and a proxy
// that injects network faults. The entry hosts balance the requests of callers over the
// targets of services. The platform holds the list of hosts and the services'
// configuration documents. Unless Options.NoProxy is set, all connections between these
// processes pass through the proxy, except those that use the admin addresses of the
// entry hosts. Tests send faults and other commands directly to the platform, the proxy
// and the targets.
package fleet
