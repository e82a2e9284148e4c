// Package orgs describes the organisations whose callers an operator serves, with the keys
// by which a request is assigned to one of them.
package orgs
