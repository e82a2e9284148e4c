// Package server simulates the targets of a service, for tests and measurements.
//
// A target is a backend server that processes requests. It has a fixed number of
// slots, which is the number of requests that it processes at once. Further requests
// wait in a queue, and requests beyond the limit of the queue are refused as not run,
// with status 503 and the header Tiller-Refused, which states that they did not run.
// The target reports its load in the headers of its responses and on GET /load, which
// entry hosts call as a probe. Request headers set the service time of a request, the
// length of its response and nested calls. POST /control sets faults, draining and
// slowdowns. GET /runs returns how often each operation other than a read ran, so that
// a test can detect duplicate executions, and GET /stats returns counters.
package server
