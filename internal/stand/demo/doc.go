// Package demo runs a small fleet as separate processes, sends requests through it
// and prints their outcomes, their latencies and the document versions in force.
package demo
