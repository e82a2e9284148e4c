// Package settle deduplicates the submissions of a non-idempotent HTTP request,
// so that the request runs at most once although its caller may submit it
// several times.
//
// The caller gives every submission of such a request the same key, in the
// Idempotency-Key header. A key consists of a token and a part that the caller
// draws at random. The token names the home of the key, which is one incarnation
// of one host, that is, one run of its process. The home counts its heartbeats, and
// the token also holds this heartbeat counter as it was when the home issued the token.
//
// Only the home may run the request. Other hosts forward submissions to the home,
// and once its process has ended no host runs the request any more. The hosts
// therefore need no agreement about a key.
//
// The home stores a record of a key before it runs the request. When the request has
// ended, the home adds the response and the verdict, which says whether the request
// ran. It answers later submissions from the record.
//
// Records expire by the counter in their key. The home keeps a minimum counter. If a
// key has no record and its counter is below the minimum, its record may have expired,
// so the home doesn't run the request and responds with the verdict MayHaveRun. An
// expired record can therefore never lead to a second run.
package settle
