// Package header defines the names of the HTTP headers that callers, entry hosts and
// targets exchange. Entry hosts are the hosts of the load balancer, and targets are the
// backend servers.
package header
