// Package soak runs a fleet under seeded faults of every kind at once and checks every promise about a request.
package soak
