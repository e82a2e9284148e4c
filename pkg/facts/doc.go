// Package facts keeps the newest record of each key of a few topics of a log,
// whichever host read it.
//
// Offsets order the records of a topic, so the newer record of a key always
// wins and hosts may tell each other what they read in any order. A table knows
// through which offset it is complete and since when that is confirmed; a host
// whose knowledge is confirmed often enough by others does not read the log.
package facts
