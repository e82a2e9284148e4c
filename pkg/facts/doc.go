// Package facts keeps copies of a store's records up to date on all hosts of a fleet while only a few of them read the store.
//
// The package itself does no I/O. A store keeps topics. A topic is a log of records,
// ordered by offset, and each record sets or removes the value of a key. The newest
// record of a key is called a fact, and a host keeps the facts of a topic in a Topic.
//
// Hosts copy facts from each other in deltas. Deltas may overlap and arrive late,
// because of two records of a key the one with the larger offset always replaces the other.
// A Topic also stores the offset below which it has all records, and the last time at
// which the store is known to have had no newer ones. The time since then is the
// age of the topic. Reports of other hosts keep that age low, so that most hosts do not
// have to read the store. ReadSchedule gives the age from which each host reads it
// itself, and DistributionTree spreads the copying when many hosts start at once.
package facts
