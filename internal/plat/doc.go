// Package plat is the client of the platform: its append-only log and its lagging list of hosts.
//
// docs/PLATFORM.md states the protocol, which is HTTP with JSON bodies.
package plat
