package choose

import "time"

// Settings are the limits of a pool; they come from the service's document.
type Settings struct {
	// Policy is one of the names in package spec.
	Policy string
	// Slots is the number of requests that a target works on at once.
	Slots int
	// Overcommit is how many requests beyond the slots may wait at a target, so that a slot is not idle while its next request travels.
	Overcommit int
	// QueueWaitAtMost bounds the wait for a free slot.
	QueueWaitAtMost time.Duration
	// AttemptsAtMost bounds the attempts of one request.
	AttemptsAtMost int
	// ExtraAttemptShare bounds retries and hedges as a share of requests.
	ExtraAttemptShare float64
	// HedgeQuantile is the latency quantile after which a read is hedged; 1 turns hedging off.
	HedgeQuantile float64
	// BusyShare is the load above which no extra attempts are made.
	BusyShare float64
	// QuietAfter is how long a target may go unheard before it wants a probe; zero turns probes off.
	QuietAfter time.Duration
	// FailureDomain is the entry host's own; targets in it are preferred among equals.
	FailureDomain string
	// ExtraBurst is how many extra attempts may be saved up; zero means a default.
	ExtraBurst float64
	// BurstHosts is the number of hosts that ExtraBurst allows for; where more use the targets, each saves up less. Zero means any number.
	BurstHosts int
	// ChargeRescues says that rescues from silent connections are extra attempts too.
	ChargeRescues bool
}

// Target is a target that the pool may use.
type Target struct {
	Name          string
	FailureDomain string
	// Leaving targets get no new work.
	Leaving bool
	// Spare targets are held by another host, which probes them; the policy Held
	// uses them only when no own target is usable, the policy Speed when they are better.
	Spare bool
	// Slots is the number of requests that this target works on at once; zero means that of the settings.
	Slots int
	// ColdUntil is when a target that has just started works at its usual speed.
	ColdUntil time.Time
}

// Request is one request of a caller.
type Request struct {
	ID uint64
	// Idempotent requests may be retried after they may have run, and hedged.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AttemptsAtMost bounds the attempts of this request whatever the settings become; zero means the settings at its arrival.
	AttemptsAtMost int
	// NoExtraAttempts requests get no extra attempts, because a level above retries.
	NoExtraAttempts bool
	// Class names requests of one kind, whose latencies are compared.
	Class string
	// Priority is the rank of waiting requests; zero goes first.
	Priority int
	// Patience is how long the caller waits for this try, whatever limits Deadline; zero if it did not say.
	Patience time.Duration
	// Objective is the latency within which the answer is worth most; zero means the whole time to the deadline.
	Objective time.Duration
}

// Grant tells the caller of the pool to send a request to a target.
type Grant struct {
	Request uint64
	Target  string
	// Attempt counts from one.
	Attempt int
	// HedgeAfter is when to ask for a hedge, counted from now; zero means never.
	HedgeAfter time.Duration
	// SuspectAfter is when the connection is to be suspect if there is no answer; zero while the latency of the service is unknown.
	SuspectAfter time.Duration
	// Cause says why this target was chosen.
	Cause string
	// Slowdown is what the target was expected to need relative to usual, and
	// SlowdownAge the age of what it last said of that; the policy Speed sets them.
	Slowdown    float64
	SlowdownAge time.Duration
	// Waited is the time from arrival to the grant, and Expected that from the grant to the answer.
	Waited          time.Duration
	ExpectedLatency time.Duration
	// UsableTargets counts the targets that could have been chosen, OpenTargets those of them
	// with a free slot, and Best is the lowest latency expected of any of them.
	UsableTargets, OpenTargets int
	BestLatency                time.Duration
	// SaturationSlowdown is how many times as long work takes at targets with all slots busy.
	SaturationSlowdown float64
}

// Refusal tells the caller of the pool that a request is not run.
type Refusal struct {
	Request uint64
	Reason  string
	// RetryAfter is when a slot may be free for the request; zero if nothing is known.
	RetryAfter time.Duration
}

// Actions are the decisions of one step.
type Actions struct {
	Grants   []Grant
	Refusals []Refusal
}

// OutcomeKind classifies the end of an attempt.
type OutcomeKind int

const (
	// Answered means that the target gave a whole answer.
	Answered OutcomeKind = iota
	// Errored means that the target failed or answered with a server error.
	Errored
	// Declined means that the target refused the work as not run.
	Declined
	// Cancelled means that the attempt was given up from this side.
	Cancelled
	// Unused means that the grant came too late and nothing was sent.
	Unused
)

// Report is what a target says of its own load.
type Report struct {
	// Running and Waiting count the requests at the target.
	Running, Waiting int
	// Draining targets want no new work.
	Draining bool
	// Slowdown is how many times the usual time work takes at the target now; zero if it does not say.
	Slowdown float64
	// Unhealthy says that the target called itself unwell, which may be false.
	Unhealthy bool
}

// Observation is what one host tells others of a target.
type Observation struct {
	Target string
	// FailureDomain is the target's; hosts do not tell it each other.
	FailureDomain string
	// InFlight counts the host's own requests at the target.
	InFlight int
	// Slowdown is what the target last said of itself, and Age how long ago; zero if nothing was heard.
	Slowdown    float64
	SlowdownAge time.Duration
	// FailedShare is the share of the host's own requests at the target that failed lately.
	FailedShare float64
}

// Outcome is the end of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Latency is the time from sending to the whole answer.
	Latency time.Duration
	// Report is nil if the target sent none.
	Report *Report
}

// CauseHedge begins the cause of a grant that hedges a late answer.
const CauseHedge = "hedge"

// Refusal reasons, also used as metric labels and header values.
const (
	ReasonQueueFull = "QueueFull"
	ReasonNoTarget  = "NoTarget"
	ReasonDeadline  = "DeadlinePassed"
)
