// Package event holds the time line entries of a host and merges those of several hosts.
package event
