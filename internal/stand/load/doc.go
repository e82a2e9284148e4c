// Package load is a caller stand-in: open-loop arrivals, checks of every answer against the targets' records, and latency without coordinated omission.
package load
