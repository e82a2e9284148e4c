// Package member is a gossip membership table with incarnations, as a pure state machine.
//
// Every host raises its own heartbeat counter and exchanges tables with one
// other host per period. A member whose counter has not risen for a while is
// suspected, then failed, then forgotten. Two hosts may disagree about any
// member at any time; users of a table must stay safe under a wrong view.
package member
