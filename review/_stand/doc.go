// Command _stand runs the cases of the review as programs. It starts entry hosts as
// separate processes on loopback addresses and simulates the platform around them, which
// consists of the store, the targets and the consumers. Each case is a subcommand.
package main
