// Package front serves callers: the directory and the requests to services, over HTTP.
package front
