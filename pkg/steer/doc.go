// Package steer decides which entry hosts callers of a service are sent to and which targets each of them holds.
//
// Both decisions follow from a membership view by rendezvous hashing, so that
// hosts with equal views agree without a message and the loss of one host moves
// only what that host held. Unequal views cost speed only: a target with two
// holders queues by itself.
package steer
