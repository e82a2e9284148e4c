// Package platf is a stand-in for the platform: an append-only log with limited retention and a lagging list of hosts.
package platf
