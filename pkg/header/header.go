package header

// Headers between callers and entry hosts.
const (
	// IdempotencyKey identifies a non-idempotent request that may be submitted more than
	// once. Its value begins with a token from the directory. See package settle.
	IdempotencyKey = "Idempotency-Key"
	// DeadlineMillis is the remaining time until the end of the response, in ms. Each hop
	// subtracts the time that it has used.
	DeadlineMillis = "Tiller-Deadline-Millis"
	// Verdict is on every response of an entry host: NotRun, Ran or MayHaveRun. See package fault.
	Verdict = "Tiller-Verdict"
	// Reason identifies the kind of failure on an error response that the entry host
	// generated itself. See Reason of fault.Error.
	Reason = "Tiller-Reason"
	// RequestID identifies the request in logs and events.
	RequestID = "Tiller-Request-Id"
	// Replayed is "true" on a stored response of an earlier submission.
	Replayed = "Tiller-Replayed"
	// Retry is "true" on retries and hedges. Entry hosts send no retries and hedges for a
	// request that arrives with it. If targets copy it to the calls that they make for the
	// request, retries don't multiply along a chain of calls.
	Retry = "Tiller-Retry"
	// Avoid is the name of an entry host that did not respond to the caller. The request
	// is not forwarded to it.
	Avoid = "Tiller-Avoid"
	// Depth is the number of entry hosts through which a chain of calls has passed, with
	// one for each call.
	Depth = "Tiller-Depth"
	// Target is the name of the target that responded.
	Target = "Tiller-Target"
)

// Headers of responses from targets.
const (
	// Refused is NotRun on a response that refuses the request before its work began.
	Refused = "Tiller-Refused"
	// Running and Waiting are the numbers of requests that the target was working on and
	// that waited there when it responded.
	Running = "Tiller-Running"
	Waiting = "Tiller-Waiting"
	// Draining is "true" if the target must not get new requests.
	Draining = "Tiller-Draining"
)

// MaxDepth is the Depth from which on a request is refused, to end loops of calls.
const MaxDepth = 16
