package header

// Headers between callers and entry hosts.
const (
	// IdempotencyKey names a non-idempotent request that may be submitted again; its value begins with a token of the directory.
	IdempotencyKey = "Idempotency-Key"
	// DeadlineMillis is the time left for the whole answer, in ms; it shrinks from hop to hop.
	DeadlineMillis = "Tiller-Deadline-Millis"
	// Verdict is NotRun, Ran or MayHaveRun on every answer of an entry host.
	Verdict = "Tiller-Verdict"
	// Reason is the Pascal case reason of an answer that the entry host made itself.
	Reason = "Tiller-Reason"
	// RequestID names the request in logs and on the time line.
	RequestID = "Tiller-Request-Id"
	// Replayed is "true" on a remembered answer of an earlier submission.
	Replayed = "Tiller-Replayed"
	// Retry is "true" on extra attempts; levels below make none of their own for it.
	Retry = "Tiller-Retry"
	// Avoid names an entry host that did not answer the caller; a request is not passed on to it.
	Avoid = "Tiller-Avoid"
	// Depth counts the entry hosts that a chain of calls has passed.
	Depth = "Tiller-Depth"
	// Target names the target that answered.
	Target = "Tiller-Target"
)

// Headers from targets.
const (
	// Refused is NotRun on an answer that refuses the work before it began.
	Refused = "Tiller-Refused"
	// Running and Waiting are the requests at the target when it answered.
	Running = "Tiller-Running"
	Waiting = "Tiller-Waiting"
	// Draining is "true" if the target wants no new work.
	Draining = "Tiller-Draining"
)

// MaxDepth is the longest chain of calls that is served.
const MaxDepth = 16
