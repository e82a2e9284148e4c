// Package fleet starts the processes of a whole system on loopback for demos, tests and measurements: platform, targets, fault proxy and entry hosts.
package fleet
