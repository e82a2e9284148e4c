// Package member keeps the list of the living hosts of a fleet by gossip, as a state machine without I/O or a clock of its own.
//
// Each host has a Table with one row for every member of the fleet. A row holds the
// name and addresses of a member, its incarnation and its heartbeat counter. The
// incarnation is the number of a process that ran under that name, and a restart
// raises it. The counter is raised by the member itself in every heartbeat period.
//
// Once per period a host exchanges its table with one other member. The two send
// each other the counters of the rows of all members that have not failed, and the
// whole rows that the other side lacks. So the counter of a living member rises in all
// tables. In a large fleet, a Scope limits the rows to those that the other side stores.
//
// A sign of life of a member is a risen counter, or a message such as a beacon that
// shows that it is alive. A member without one for Timing.FailAfter counts as failed,
// and its row is removed after Timing.RemoveAfter. A member that refuses a connection,
// or that stops sending beacons, counts as failed at once until its next sign of life.
//
// The tables of two hosts may differ at any time, and users of a table must remain
// correct if it is wrong about a member.
package member
