// Package front is the door for callers: the directory and the requests to services, over HTTP.
package front
