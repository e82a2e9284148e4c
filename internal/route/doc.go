// Package route defines the request of a caller as an entry host processes it, whether
// it came from the caller itself or was forwarded by another entry host, and writes the
// error answers. An entry host is a process of the load balancer.
package route
