package choose

import (
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// Settings are the policy and the limits of a pool. Most of them come from the configuration document of the service.
type Settings struct {
	// Policy is one of the Policy constants of package spec.
	Policy string
	// Slots is the number of requests that a target works on at once, unless Target.Slots says otherwise.
	Slots int
	// Overcommit is the number of requests beyond the slots that may wait at a target, so that
	// no slot is idle while its next request is on the network. Only the policy Held uses it.
	Overcommit int
	// QueueWaitAtMost is the maximum wait for a free slot in a lasting overload. The policy Speed doesn't use it.
	QueueWaitAtMost time.Duration
	// AttemptsAtMost is the maximum number of attempts of one request, the first included.
	AttemptsAtMost int
	// ExtraAttemptShare is the maximum number of retries and hedges as a share of the number of requests.
	ExtraAttemptShare float64
	// HedgeQuantile is the latency quantile after which an idempotent request is hedged;
	// 1 turns hedging off. The policy Speed derives the delay from the expected latency
	// instead, and only checks that hedging is on.
	HedgeQuantile float64
	// HedgeShare is the largest number of early hedges as a share of the number of requests;
	// zero turns them off. They spend from the budget of ExtraAttemptShare too. Only the policy
	// Speed sends them.
	HedgeShare float64
	// BusyShare is the smoothed share of busy slots above which no extra attempts are made.
	// Each waiting request counts as a busy slot.
	BusyShare float64
	// QuietAfter is the time without an answer or report of a target after which it is probed; zero turns probes off.
	// Under the policy Speed, only reports of the slowdown count, also those that other hosts received.
	QuietAfter time.Duration
	// FailureDomain is that of the entry host. Targets in it are preferred to equally fast ones elsewhere.
	FailureDomain string
	// ExtraBurst is the capacity of the token bucket for extra attempts; zero means 20.
	ExtraBurst float64
	// BurstHosts is the number of sharing hosts up to which each gets the whole
	// ExtraBurst. With more of them, each gets a smaller part. Zero means that all get the whole.
	BurstHosts int
	// ChargeRescues makes rescues spend from the budget of extra attempts.
	ChargeRescues bool
	// ColdPerSecond is the number of requests a second that a cold target takes from all entry
	// hosts together; zero means that cold targets have no such limit.
	ColdPerSecond float64
	// ColdTime is how long a target stays cold after its start.
	ColdTime time.Duration
}

// Target describes a target that the pool may use.
type Target struct {
	Name          string
	FailureDomain string
	// Leaving marks a target that is about to stop and gets no new requests.
	Leaving bool
	// Spare marks a target that another entry host holds and probes. The policy Speed
	// uses spares at a small penalty, the others only if no held target is usable.
	Spare bool
	// OwnsLimit marks a target that gets most of the requests that a limit of its own allows
	// from this entry host. The hosts that agree about which of them are alive must agree
	// about the host that owns the limit of a target.
	OwnsLimit bool
	// Slots is the number of requests that this target works on at once; zero means Settings.Slots.
	// The policy Held never uses more than Settings.Slots.
	Slots int
	// ColdUntil is the time until which a target that has just started works more slowly than usual.
	ColdUntil time.Time
	// StartedAt is when this instance of the target started, zero if that is not known. A
	// target may start again under the same name.
	StartedAt time.Time
}

// Request describes a request of a caller.
type Request struct {
	// ID must be unique among the requests that have arrived and have not been released.
	ID uint64
	// Idempotent means that running the request twice does no harm. Only idempotent
	// requests are hedged. The policy Speed chooses a target on trial only for them, and the
	// other policies choose it for others only if no other target is usable.
	Idempotent bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// AttemptsAtMost is the maximum number of attempts of this request, also if the
	// settings change later. Zero means Settings.AttemptsAtMost at the time of arrival.
	AttemptsAtMost int
	// NoExtraAttempts forbids retries and hedges, because a caller further upstream retries already.
	NoExtraAttempts bool
	// Class names a group of requests whose latencies are comparable.
	Class string
	// Priority orders waiting requests. Lower values are granted first, and zero is the most urgent.
	// The policy Speed first compares how likely the requests are to meet their objective.
	Priority int
	// OrganisationPriority is the rank of the caller's organisation. It goes before Priority,
	// lower values first. It is zero without an organisation.
	OrganisationPriority int
	// Organisation is the name of the caller's organisation; empty if there is none. From the
	// first request that has one, the policy Speed orders requests by their organisations too.
	Organisation string
	// Doubt says how much speaks against the caller. Beside other requests, few of those with
	// more doubt are taken.
	Doubt Doubt
	// IsPaced says that the body has not arrived and is sent on as it does, so that the caller
	// sets the pace until Pool.BodyArrived. Such a request has one attempt.
	IsPaced bool
	// Patience is the time limit that the caller sent with this try of the request;
	// zero means none. Deadline may be earlier because of other limits.
	Patience time.Duration
	// Objective is the latency that the answer should not exceed, counted from the
	// caller's first try. Zero means the time from arrival to the deadline. The estimated
	// time that the caller spent on earlier tries is subtracted from both.
	Objective time.Duration
}

// Grant is the decision to send an attempt of a request to a target. The fields
// from Slowdown on explain the decision in logs, and only the policy Speed sets them.
type Grant struct {
	Request uint64
	Target  string
	// TargetStartedAt is Target.StartedAt of the target.
	TargetStartedAt time.Time
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// HedgeAfter is the time from the grant after which to call Pool.Hedge if there is no answer; zero means never.
	HedgeAfter time.Duration
	// SuspectAfter is the time from the grant after which to call Pool.MarkSuspect if there
	// is no answer; zero while the latency of the service is unknown.
	SuspectAfter time.Duration
	// Cause describes why this target was chosen. It begins with CauseHedge for a
	// hedge that Pool.Hedge or Pool.Tick returns, but not for one that has waited in the queue.
	Cause string
	// Slowdown is the last one that the target reported, zero if none, and
	// SlowdownAge is the age of that report.
	Slowdown    float64
	SlowdownAge time.Duration
	// Waited is the time from arrival to the grant.
	Waited time.Duration
	// ExpectedLatency is the expected time from the grant to the answer.
	ExpectedLatency time.Duration
	// UsableTargets is the number of targets that may get the request, busy ones included,
	// and OpenTargets is the number of those that could start it at once.
	UsableTargets, OpenTargets int
	// LimitedTargets is the number of targets that may not get the request now, because they
	// name a limit.
	LimitedTargets int
	// BestLatency is the lowest expected latency of all usable targets.
	BestLatency time.Duration
	// SaturationSlowdown is the factor by which work takes longer at targets with all slots busy.
	SaturationSlowdown float64
}

// Refusal is the decision not to send another attempt of a request.
type Refusal struct {
	Request uint64
	// Reason is one of the Reason constants.
	Reason string
	// RetryAfter is the expected time until a slot is free for the request; zero if there is no estimate.
	RetryAfter time.Duration
}

// Actions are the decisions that follow from one call of a Pool. They may concern
// other requests than the one that the call was about.
type Actions struct {
	Grants   []Grant
	Refusals []Refusal
}

// OutcomeKind classifies the end of an attempt.
type OutcomeKind int

const (
	// Answered means that the target sent a complete answer.
	Answered OutcomeKind = iota
	// Errored means that no complete answer came, or that the answer was a server error.
	Errored
	// Declined means that the target refused the request and did not run it.
	Declined
	// Cancelled means that the entry host stopped waiting for the answer.
	Cancelled
	// Unused means that nothing was sent, because the grant came too late.
	Unused
)

// Report is the state of a target in its answer to a request or a probe.
type Report struct {
	// Running and Waiting are the numbers of requests that the target works on and queues.
	Running, Waiting int
	// Draining means that the target is to get no new requests.
	Draining bool
	// Slowdown is the factor by which work takes longer at the target now than usual; zero if it was not reported.
	Slowdown float64
	// Unhealthy means that the target's health check answered with an error. It may do so although
	// requests succeed, so the policy Speed ignores it.
	Unhealthy bool
}

// Observation is what one entry host has measured at a target itself and shares with others.
type Observation struct {
	Target string
	// FailureDomain is that of the target. Only Pool.Observations sets it, and it isn't sent to other hosts.
	FailureDomain string
	// InFlight is the number of the host's own requests at the target.
	InFlight int
	// Slowdown is the last one that the target reported, and SlowdownAge is the age of that
	// report. Both are zero if the report is not recent or another host received it.
	Slowdown    float64
	SlowdownAge time.Duration
	// FailedShare is the share of errors, which decays with time. Each failed probe raises it.
	// Under the policy Speed, failed, declined and hung attempts of the host at the target raise
	// it too, and answered ones lower it. It is zero if it is too small to be worth sending.
	FailedShare float64
}

// Outcome describes the end of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Rejected means that the target answered with a client error (status 4xx), which may be
	// a fault of its own.
	Rejected bool
	// Latency is the time from sending the request to the end of the attempt, which is the complete answer if there is one.
	Latency time.Duration
	// Report is nil if the target sent no report.
	Report *Report
	// Limit is what the answer states about the target's limit; nil without an answer.
	Limit *limit.Named
}

// CauseHedge is the beginning of Grant.Cause in the grant of a hedge that Pool.Hedge or Pool.Tick returns.
const CauseHedge = "hedge"

// Reasons of refusals, which also appear in metric labels and header values.
const (
	// ReasonQueueFull means that the wait for a slot would be or has become too long.
	ReasonQueueFull = "QueueFull"
	// ReasonLimitReached means that all usable targets name limits, and that the request would
	// be late if it waited until one of them may get it.
	ReasonLimitReached = "LimitReached"
	// ReasonHeldOff means that all usable targets want nothing from this host until the
	// request would be late.
	ReasonHeldOff = "HeldOff"
	// ReasonNoTarget means that all targets are leaving, draining or in evacuated failure
	// domains, or that there are none.
	ReasonNoTarget = "NoTarget"
	// ReasonDeadline means that an answer before the deadline is unlikely. The deadline need not have passed.
	ReasonDeadline = "DeadlinePassed"
	// ReasonStopping means that the host stops before the request could be answered.
	ReasonStopping = "HostStopping"
)
