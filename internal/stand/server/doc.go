// Package server is a stand-in for the targets of a service: slots, load reports, draining, shedding, faults and a record of what ran.
package server
