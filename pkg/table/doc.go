// Package table maps the host name and path of a request to a service and to terms.
//
// A route is one entry of the table. It has a host name, a path prefix, the services
// that get its requests, and its terms. The terms are the limits and objectives that the
// operator has set for each request of the route, such as its time limit, its latency
// objective and the largest number of attempts. If a route has several services, a
// [Splitter] divides its requests among them by weight.
package table
