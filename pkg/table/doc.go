// Package table maps the host name and path of a request to a service and to the
// terms that the operator grants it.
package table
