// Package allot keeps an organisation within its allotment, the number of requests that
// all entry hosts together may take for it.
//
// One of the hosts, the owner, has a bucket of tokens for each organisation. A [Spender] at
// each host asks the owner for tokens, and takes one for each request. It asks ahead for
// what it expects to need, and holds requests back for some milliseconds until the answer
// has arrived. An [Owner] counts tokens that it has given away as if they were still in the
// bucket until it hears that they have been used or until they expire. So the hosts never
// use more than the bucket's capacity and its inflow, however long the tokens are kept.
//
// A host that gets no answer has a small reserve, which is counted for it. It serves the
// first requests after all hosts have been restarted, those between the failure of an
// owner and its replacement, and those of hosts that are cut off.
//
// The load pattern that it answers is an organisation that sends many times its allotment.
// Its tokens then go to its most urgent requests, and the others are refused at once.
//
// Hosts may disagree about the owner. An owner that reaches only some of the hosts that it
// knows has that part of the inflow, and one that has just become the owner, or was paused,
// begins with an empty bucket after a while.
//
// Times are those since a fixed moment by a clock that doesn't stop while the process is
// paused or the machine is suspended. The types are not safe for concurrent use.
package allot
