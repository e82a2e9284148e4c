// Package entry is the daemon of an entry host: a shell of goroutines, sockets and clocks around the decisions of pkg/.
package entry
