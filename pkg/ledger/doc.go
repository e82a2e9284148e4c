// Package ledger decides which version of each document is in force, from an append-only log with limited retention.
//
// A proposal is accepted if its text is valid and its base is the version in
// force at its own offset; the offset becomes the version. Every reader that
// knows the state before the offset decides alike, so that no host has to
// arbitrate. Because offsets are dense, a reader knows whether it missed records.
//
// What a reader knows of the whole log is a claim: "after offset Through these
// versions are in force". Claims are facts, so the one that reaches further is
// always the better one, whoever made it and however late it arrives. An Index
// record restates a claim on the log and Text records restate texts, which never
// change for a given service and version. A reader that starts behind the log's
// first record needs a claim that reaches to that record, from an Index or from
// another host; until it has one, it is not current.
package ledger
