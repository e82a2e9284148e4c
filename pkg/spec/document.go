package spec

import (
	"strconv"
	"time"
)

// MaxDocumentBytes is the size of the largest document that Parse accepts.
const MaxDocumentBytes = 16 << 10

// The policies, which determine how an entry host chooses the target of a request.
const (
	// PolicyHeld chooses the target with the lowest expected latency, among those with a
	// free slot that the host holds.
	PolicyHeld = "Held"
	// PolicyReports chooses the target with the lowest reported load.
	PolicyReports = "Reports"
	// PolicyTwoChoices chooses the target with fewer requests in flight of two random ones.
	PolicyTwoChoices = "TwoChoices"
	// PolicyRoundRobin chooses the targets in rotation.
	PolicyRoundRobin = "RoundRobin"
	// PolicyRandom chooses a random target.
	PolicyRandom = "Random"
	// PolicySpeed chooses the target that is expected to respond first, by the slowdown that
	// targets report and the observations of other entry hosts.
	PolicySpeed = "Speed"
)

// Document is the content of one service's document.
type Document struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that a target works on at once.
	Slots int
	// Overcommit is the number of requests beyond the slots that may wait at a target.
	Overcommit int
	// ConnectionsPerTarget is the largest number of connections of all entry hosts to one target.
	ConnectionsPerTarget int
	// EntryHostsAtMost is the largest number of entry hosts alive at once, including
	// replacements that start before the replaced ones stop. Shared limits are divided by it.
	EntryHostsAtMost int
	// ConnectionFresh is how long after its last response a connection may be used for another request.
	ConnectionFresh time.Duration
	// QueueWaitAtMost is the longest wait for a free slot in an overload. An overload begins
	// when the expected wait has exceeded this value for 1 s, and ends when the queue is
	// empty. PolicySpeed doesn't use it.
	QueueWaitAtMost time.Duration
	// DeadlineDefault is the time limit of a request without a deadline.
	DeadlineDefault time.Duration
	// AttemptsAtMost is the largest number of attempts of one request, the first included.
	AttemptsAtMost int
	// ExtraAttemptShare is the largest number of retries and hedges as a fraction of the number of requests.
	ExtraAttemptShare float64
	// ExtraBurst is the capacity of a host's token bucket for retries and hedges; zero means 20.
	ExtraBurst float64
	// HedgeShare is the largest number of early hedges as a fraction of the number of requests.
	HedgeShare float64
	// HedgeQuantile is the quantile of the service's latency after which an idempotent
	// request is hedged; 1 turns hedging off.
	HedgeQuantile float64
	// BusyShare is the fraction of busy slots above which no extra attempts are made.
	BusyShare float64
	// ProbesPerWindow is the largest number of probes of all entry hosts to one target in any ProbeWindow; zero allows none.
	ProbesPerWindow int
	// ProbeWindow is the length of the time window of ProbesPerWindow.
	ProbeWindow time.Duration
	// QuietAfter is the time without a response of a target after which it is probed, unless
	// requests are in flight there. PolicySpeed counts the time without a report of
	// the slowdown instead, and probes targets with requests in flight too. Zero turns probes off.
	QuietAfter time.Duration
	// Policy is one of the Policy constants.
	Policy string
	// Holders is the number of entry hosts to which the directory directs callers; zero means all.
	Holders int
	// DirectoryHold is how long callers may cache the directory.
	DirectoryHold time.Duration
	// ColdPerSecond is the number of requests a second that a target which is not warm takes
	// from all entry hosts together, and ColdTime is how long it takes to become warm. Both are
	// zero if the service has no such limit. Texts of documents don't have them.
	ColdPerSecond float64
	ColdTime      time.Duration
	// AnswerBytesRemembered is the largest response body stored for a request with an idempotency key.
	AnswerBytesRemembered int
	// RememberFor is not used by any host. Entry hosts store the outcome of a request until
	// 10 minutes after they issued the token in its idempotency key. They store it for less
	// time if they reach their limit of stored keys.
	RememberFor time.Duration
}

// Fields returns the description of every key. Its Set functions store the values in d.
func (d *Document) Fields() []Field {
	fields := d.serviceFields()
	fields = append(fields, d.limitFields()...)
	fields = append(fields, d.retryFields()...)
	fields = append(fields, d.measuringFields()...)
	return append(fields, d.steeringFields()...)
}

func (d *Document) serviceFields() []Field {
	return []Field{
		{Section: "Service", Key: "Name", Allowed: "1 to 64 ASCII letters, digits, '-' and '_', beginning with a letter or digit", About: "Name of the service.", Set: Name(&d.Service)},
		{Section: "Service", Key: "Slots", Unit: "requests", Allowed: "1 to 1024", About: "Number of requests that one target works on at once.", Set: Int(&d.Slots, 1, 1024)},
		{Section: "Service", Key: "Overcommit", Unit: "requests", Default: "1", Allowed: "0 to 64", About: "Number of requests beyond the slots that may wait at a target, so that no slot is idle while its next request is on the network.", Set: Int(&d.Overcommit, 0, 64)},
		{Section: "Service", Key: "DeadlineDefaultMillis", Unit: "ms", Default: "10000", Allowed: "10 to 600000", About: "Time limit of a request without a deadline.", Set: Millis(&d.DeadlineDefault, 10*time.Millisecond, 10*time.Minute)},
		{Section: "Service", Key: "RememberForMillis", Unit: "ms", Default: "600000", Allowed: "1000 to 3600000", About: "No host uses this value. Entry hosts store the outcome of a request until 10 minutes after they issued the token in its idempotency key, or for less time if they reach KeysRemembered.", Set: Millis(&d.RememberFor, time.Second, time.Hour)},
		{Section: "Service", Key: "AnswerBytesRemembered", Unit: "bytes", Default: "16384", Allowed: "0 to 1048576", About: "Largest response body stored for a request with an idempotency key. If the response is larger, later submissions of the request get only the verdict.", Set: Int(&d.AnswerBytesRemembered, 0, 1<<20)},
	}
}

func (d *Document) limitFields() []Field {
	return []Field{
		{Section: "Limits", Key: "ConnectionsPerTarget", Unit: "connections", Default: "200", Allowed: "1 to 100000, and no less than EntryHostsAtMost", About: "Largest number of connections of all entry hosts to one target.", Set: Int(&d.ConnectionsPerTarget, 1, 100000)},
		{Section: "Limits", Key: "EntryHostsAtMost", Unit: "hosts", Default: "40", Allowed: "1 to 1000", About: "Largest number of entry hosts alive at once, including replacements that start before the replaced ones stop. Limits that the entry hosts share are divided by it.", Set: Int(&d.EntryHostsAtMost, 1, 1000)},
		{Section: "Limits", Key: "ConnectionFreshMillis", Unit: "ms", Default: "2000", Allowed: "10 to 60000", About: "How long after its last response a connection may be used for another request.", Set: Millis(&d.ConnectionFresh, 10*time.Millisecond, time.Minute)},
		{Section: "Limits", Key: "QueueWaitAtMostMillis", Unit: "ms", Default: "300", Allowed: "0 to 60000", About: "Longest wait for a free slot in an overload. A request that would wait longer is refused with the verdict NotRun. An overload begins when the expected wait has exceeded this value for 1 s, and ends when the queue is empty. The policy Speed doesn't use it.", Set: Millis(&d.QueueWaitAtMost, 0, time.Minute)},
	}
}

func (d *Document) retryFields() []Field {
	return []Field{
		{Section: "Retries", Key: "AttemptsAtMost", Unit: "attempts", Default: "3", Allowed: "1 to 5", About: "Largest number of attempts of one request, the first included.", Set: Int(&d.AttemptsAtMost, 1, 5)},
		{Section: "Retries", Key: "ExtraAttemptShare", Default: "0.06", Allowed: "0 to 0.5", About: "Largest number of retries and hedges as a fraction of the number of requests.", Set: Float(&d.ExtraAttemptShare, 0, 0.5)},
		{Section: "Retries", Key: "ExtraBurst", Unit: "attempts", Default: "0", Allowed: "0 to 1000; 0 means 20", About: "Largest burst of retries and hedges of one entry host.", Set: Float(&d.ExtraBurst, 0, 1000)},
		{Section: "Retries", Key: "HedgeShare", Default: "0", Allowed: "0 to 0.5; 0 sends none", About: "Largest number of second attempts, as a fraction of the number of requests, that the policy Speed sends for idempotent requests whose response would probably miss the latency objective. They count towards ExtraAttemptShare too.", Set: Float(&d.HedgeShare, 0, 0.5)},
		{Section: "Retries", Key: "HedgeQuantile", Default: "0.95", Allowed: "0.5 to 1", About: "Quantile of the service's latency after which an idempotent request is hedged. 1 turns hedging off.", Set: Float(&d.HedgeQuantile, 0.5, 1)},
		{Section: "Retries", Key: "BusyShare", Default: "0.9", Allowed: "0 to 1", About: "Fraction of busy slots above which no retries and hedges are sent.", Set: Float(&d.BusyShare, 0, 1)},
	}
}

func (d *Document) measuringFields() []Field {
	return []Field{
		{Section: "Measuring", Key: "ProbesPerWindow", Unit: "probes", Default: "40", Allowed: "0, or EntryHostsAtMost to 100000", About: "Largest number of probes that one target gets from all entry hosts in any window of WindowMillis. 0 allows no probes.", Set: Int(&d.ProbesPerWindow, 0, 100000)},
		{Section: "Measuring", Key: "WindowMillis", Unit: "ms", Default: "10000", Allowed: "1000 to 600000", About: "Length of the time window of ProbesPerWindow.", Set: Millis(&d.ProbeWindow, time.Second, 10*time.Minute)},
		{Section: "Measuring", Key: "QuietAfterMillis", Unit: "ms", Default: "2000", Allowed: "0 to 600000; 0 turns probes off", About: "Time without a response of a target after which its holder probes it, unless requests are in flight there. The policy Speed counts the time without a report of the slowdown instead, and probes targets with requests in flight too.", Set: Millis(&d.QuietAfter, 0, 10*time.Minute)},
	}
}

func (d *Document) steeringFields() []Field {
	return []Field{
		{Section: "Steering", Key: "Policy", Default: PolicyHeld, Allowed: "Held, Speed, Reports, TwoChoices, RoundRobin or Random", About: "How the target of a request is chosen. Held: the lowest expected latency among the targets with a free slot that the entry host holds. Speed: the earliest expected response, by the slowdown that targets report and the observations of other entry hosts. Reports: the lowest reported load. TwoChoices: of two random targets, the one with fewer requests in flight. RoundRobin: the targets in rotation. Random: a random target.", Set: Choice(&d.Policy, PolicyHeld, PolicySpeed, PolicyReports, PolicyTwoChoices, PolicyRoundRobin, PolicyRandom)},
		{Section: "Steering", Key: "Holders", Unit: "hosts", Default: "1", Allowed: "0 to 1000; 0 means every host", About: "Number of entry hosts to which the directory directs the callers of the service.", Set: Int(&d.Holders, 0, 1000)},
		{Section: "Steering", Key: "DirectoryHoldMillis", Unit: "ms", Default: "5000", Allowed: "100 to 600000", About: "How long callers may cache the directory.", Set: Millis(&d.DirectoryHold, 100*time.Millisecond, 10*time.Minute)},
	}
}

// Parse parses and checks the text of a document. Errors are of type *FieldError and
// name the given file.
func Parse(file string, text []byte) (Document, error) {
	if len(text) > MaxDocumentBytes {
		return Document{}, &FieldError{File: file, Value: strconv.Itoa(len(text)) + " bytes", Allowed: "a text of at most 16384 bytes"}
	}
	var parsed Document
	if err := ParseFields(file, text, parsed.Fields()); err != nil {
		return Document{}, err
	}
	if err := parsed.checkTogether(file); err != nil {
		return Document{}, err
	}
	return parsed, nil
}

// checkTogether checks the rules that concern more than one key.
func (d *Document) checkTogether(file string) error {
	if d.ConnectionsPerTarget < d.EntryHostsAtMost {
		return &FieldError{File: file, Section: "Limits", Key: "ConnectionsPerTarget", Value: strconv.Itoa(d.ConnectionsPerTarget), Allowed: "no less than EntryHostsAtMost, so that every entry host may open a connection"}
	}
	if d.ProbesPerWindow > 0 && d.ProbesPerWindow < d.EntryHostsAtMost {
		return &FieldError{File: file, Section: "Measuring", Key: "ProbesPerWindow", Value: strconv.Itoa(d.ProbesPerWindow), Allowed: "0, or no less than EntryHostsAtMost, so that every entry host may send a probe"}
	}
	return nil
}

// ConnectionShare returns the largest number of connections that one entry host may have to one target.
func (d *Document) ConnectionShare() int {
	return d.ConnectionsPerTarget / d.EntryHostsAtMost
}

// ProbeShare returns the largest number of probes that one entry host may send to one target in any ProbeWindow.
func (d *Document) ProbeShare() int {
	return d.ProbesPerWindow / d.EntryHostsAtMost
}
