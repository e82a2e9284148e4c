// Package admin is the HTTP server of an entry host for operators and their programs,
// with JSON replies. An entry host is a process of the load balancer.
//
// The server has these endpoints:
//
//   - /tiller/status returns the state of the host.
//   - /tiller/documents returns the settings of the services.
//   - /tiller/events returns the host's recent decisions. They can be filtered by
//     service, target, request and kind.
//   - /metrics returns metrics in the format of Prometheus.
package admin
