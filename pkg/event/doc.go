// Package event records the events of a host, which explain its decisions to
// operators, and merges the events of several hosts into one timeline.
//
// The time of an event is by the clock of the host that recorded it. The reader is the
// process that merges the events. The clock lead of a host is how far its clock is ahead
// of the reader's, and Merge corrects for it. An incarnation is one run of a host's process.
package event
