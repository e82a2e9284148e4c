package header

// Headers between callers and entry hosts.
const (
	// IdempotencyKey identifies a non-idempotent request that may be submitted more than
	// once. Its value begins with a token from the directory. See package settle.
	IdempotencyKey = "Idempotency-Key"
	// DeadlineMillis is the time, in ms, within which the whole response must arrive. Each
	// hop subtracts the time that it has used.
	DeadlineMillis = "Tiller-Deadline-Millis"
	// Verdict is NotRun, Ran or MayHaveRun. It is on every response of an entry host to a
	// request with a path under /svc/. See package fault.
	Verdict = "Tiller-Verdict"
	// Reason identifies the kind of failure on an error response that the entry host
	// generated itself. See Reason of fault.Error.
	Reason = "Tiller-Reason"
	// RequestID identifies the request in logs and events.
	RequestID = "Tiller-Request-Id"
	// Replayed is "true" on a stored response of an earlier submission.
	Replayed = "Tiller-Replayed"
	// Retry is "true" on the retries and hedges that an entry host sends to targets. Entry
	// hosts send no retries and hedges for a request that a caller sends with it. If targets
	// copy it to the calls that they make for the request, retries don't multiply along a
	// chain of calls.
	Retry = "Tiller-Retry"
	// Avoid is the name of an entry host that failed to respond to the caller or was late.
	// A request without an idempotency key is not forwarded to it.
	Avoid = "Tiller-Avoid"
	// Depth is the number of calls through entry hosts that led to a request. An entry host
	// adds one to the value when it sends the request to a target. If targets copy it to the
	// calls that they make for the request, it counts along a chain of calls.
	Depth = "Tiller-Depth"
	// Target is the name of the target that responded.
	Target = "Tiller-Target"
)

// Headers of responses from targets.
const (
	// Refused has the value NotRun on a response that refuses the request before its work began.
	Refused = "Tiller-Refused"
	// Running and Waiting are the numbers of requests that the target was working on and
	// that waited there when it responded.
	Running = "Tiller-Running"
	Waiting = "Tiller-Waiting"
	// Draining is "true" if the target must not get new requests.
	Draining = "Tiller-Draining"
	// Limit is the number of requests a second that the target takes from all entry hosts
	// together. A target sets it for as long as the limit is in force.
	Limit = "Tiller-Limit"
)

// MaxDepth is the lowest Depth at which an entry host refuses a request, to end loops of calls.
const MaxDepth = 16
