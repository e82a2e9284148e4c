// Package limit decides how many requests an entry host may send to a target that
// names a limit in its answers.
//
// A target that needs relief names the number of requests a second that it takes from
// all entry hosts together. It does so in each answer for as long as the limit is in
// force. [Parse] parses such a statement, and a [Limiter] decides at one host about one
// target.
//
// Hosts may disagree about which of them are alive, and there may be more hosts than the
// limit has requests. So the limit is not divided equally. One host, the owner, may use
// most of it. The owner follows from the hosts that are alive, so hosts that agree about
// these agree about the owner too. The other hosts have a small part of the limit
// together, which each of them uses in turns at random times, one request each.
//
// If two hosts regard themselves as the owner, they and the others together still send
// no more than 1.5 times the limit. An owner that reaches only some of the hosts that it
// knows uses its part in proportion, so that the limit also holds if the fleet is
// divided.
package limit
