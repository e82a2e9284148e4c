// Package ledger decides which version of each service's document is in force,
// from an append-only log that deletes its records after a retention time.
//
// An operator changes a document by appending a proposal, a record of kind
// Proposal. It holds the new text and its base, which is the version that the
// operator has edited. The proposal is accepted if its text is valid and its base
// is still in force at the proposal's own offset in the log. Its offset then
// becomes the new version. Every reader that has the version in force before this
// offset comes to the same decision, so the hosts need no leader. A version stays in
// force until a later one of its service is accepted.
//
// A snapshot states which versions are in force after the record at the offset Through.
// What it states can't change later, so of two snapshots the one with the higher Through
// is always the better one, regardless of the host that made it and of the time when it
// arrives. Offsets have no gaps, so a reader detects missing records.
//
// So that documents outlive the retention time, hosts republish them. A record of
// kind Index holds a snapshot. A record of kind Text holds the text of one
// version, which never changes. Once the log has deleted its first records, a new
// reader needs a snapshot that takes all deleted records into account. It gets the
// snapshot from an Index or from another host, and is not current before that.
package ledger
