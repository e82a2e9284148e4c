// Package header names the HTTP headers that callers, entry hosts and targets exchange.
package header
