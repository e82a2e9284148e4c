// Package fault defines the error type of failed requests. Such an error has a verdict,
// which says whether the request ran at a target, that is, at a backend server. A caller
// can safely retry a request only if it did not run, is idempotent or has an idempotency
// key.
package fault
