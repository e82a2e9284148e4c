// Package admin is the HTTP server of an entry host for operators and their programs,
// with JSON replies. An entry host is a process of the load balancer.
//
// Its endpoints are /tiller/status with the state of the host, /tiller/documents with
// the settings of the services, /tiller/events with the host's recent decisions, which
// can be filtered by service, target, request and kind, and /metrics in the format of
// Prometheus.
package admin
