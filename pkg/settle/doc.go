// Package settle decides what happens to a non-idempotent request that may be submitted more than once.
//
// A key names its home: the host, the incarnation and the heartbeat counter at
// which it was drawn. Only that incarnation ever runs the request, so that no
// agreement between hosts is needed: every other host passes the request on, and
// when the incarnation is gone nobody runs it again. The home remembers every
// key whose counter is at or above a floor. Keys below the floor are answered
// MayHaveRun, so that forgetting is never a second run.
package settle
