package spec

import (
	"strconv"
	"time"
)

// MaxDocumentBytes bounds the text of a document.
const MaxDocumentBytes = 16 << 10

// Policy names how a target is chosen.
const (
	PolicyHeld       = "Held"
	PolicyReports    = "Reports"
	PolicyTwoChoices = "TwoChoices"
	PolicyRoundRobin = "RoundRobin"
	PolicyRandom     = "Random"
	PolicySpeed      = "Speed"
)

// Document is the checked content of one service's document.
type Document struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that a target works on at once.
	Slots int
	// Overcommit is how many requests beyond the slots may wait at a target.
	Overcommit int
	// ConnectionsPerTarget bounds the connections of all entry hosts together to one target.
	ConnectionsPerTarget int
	// EntryHostsAtMost is the largest number of entry hosts alive at once, replacements included; shares are budget divided by it.
	EntryHostsAtMost int
	// ConnectionFresh is how long after an answer a connection may still take a request.
	ConnectionFresh time.Duration
	// QueueWaitAtMost bounds the wait for a free slot.
	QueueWaitAtMost time.Duration
	// DeadlineDefault is the deadline of a request that states none.
	DeadlineDefault time.Duration
	// AttemptsAtMost bounds the attempts of one request, the first included.
	AttemptsAtMost int
	// ExtraAttemptShare bounds retries and hedges as a share of requests.
	ExtraAttemptShare float64
	// ExtraBurst is how many extra attempts a host may save up; zero means a default.
	ExtraBurst float64
	// HedgeQuantile is the quantile of the service's own latency after which a read is hedged; 1 turns hedging off.
	HedgeQuantile float64
	// BusyShare is the load above which no extra attempts are made.
	BusyShare float64
	// ProbesPerWindow is the measuring budget of one target for all entry hosts together.
	ProbesPerWindow int
	// ProbeWindow is the window of ProbesPerWindow.
	ProbeWindow time.Duration
	// QuietAfter is how long a target may go unheard before it is probed; zero turns probes off.
	QuietAfter time.Duration
	// Policy is one of the Policy constants.
	Policy string
	// Holders is the number of entry hosts that callers of the service are steered to.
	Holders int
	// DirectoryHold is how long callers may keep a directory answer.
	DirectoryHold time.Duration
	// AnswerBytesRemembered bounds the stored answer of one non-idempotent request.
	AnswerBytesRemembered int
	// RememberFor is how long the outcome of a keyed request is remembered.
	RememberFor time.Duration
}

// Fields describes every key of a document and stores parsed values into d.
func (d *Document) Fields() []Field {
	fields := d.serviceFields()
	fields = append(fields, d.limitFields()...)
	fields = append(fields, d.retryFields()...)
	fields = append(fields, d.measuringFields()...)
	return append(fields, d.steeringFields()...)
}

func (d *Document) serviceFields() []Field {
	return []Field{
		{Section: "Service", Key: "Name", Allowed: "a name of letters, digits, '-' and '_'", About: "Name of the service.", Set: Name(&d.Service)},
		{Section: "Service", Key: "Slots", Unit: "requests", Allowed: "1 to 1024", About: "Requests that one target works on at once.", Set: Int(&d.Slots, 1, 1024)},
		{Section: "Service", Key: "Overcommit", Unit: "requests", Default: "1", Allowed: "0 to 64", About: "Requests beyond the slots that may wait at a target, so that no slot is idle while its next request travels.", Set: Int(&d.Overcommit, 0, 64)},
		{Section: "Service", Key: "DeadlineDefaultMillis", Unit: "ms", Default: "10000", Allowed: "10 to 600000", About: "Deadline of a request that states none.", Set: Millis(&d.DeadlineDefault, 10*time.Millisecond, 10*time.Minute)},
		{Section: "Service", Key: "RememberForMillis", Unit: "ms", Default: "600000", Allowed: "1000 to 3600000", About: "How long the outcome of a keyed request is remembered.", Set: Millis(&d.RememberFor, time.Second, time.Hour)},
		{Section: "Service", Key: "AnswerBytesRemembered", Unit: "bytes", Default: "16384", Allowed: "0 to 1048576", About: "Largest answer kept for a keyed request that is submitted again.", Set: Int(&d.AnswerBytesRemembered, 0, 1<<20)},
	}
}

func (d *Document) limitFields() []Field {
	return []Field{
		{Section: "Limits", Key: "ConnectionsPerTarget", Unit: "connections", Default: "200", Allowed: "1 to 100000, and no less than EntryHostsAtMost", About: "Connections of all entry hosts together to one target.", Set: Int(&d.ConnectionsPerTarget, 1, 100000)},
		{Section: "Limits", Key: "EntryHostsAtMost", Unit: "hosts", Default: "40", Allowed: "1 to 1000", About: "Largest number of entry hosts alive at once, replacements included; every shared limit is divided by it.", Set: Int(&d.EntryHostsAtMost, 1, 1000)},
		{Section: "Limits", Key: "ConnectionFreshMillis", Unit: "ms", Default: "2000", Allowed: "10 to 60000", About: "How long after its last answer a connection may take another request.", Set: Millis(&d.ConnectionFresh, 10*time.Millisecond, time.Minute)},
		{Section: "Limits", Key: "QueueWaitAtMostMillis", Unit: "ms", Default: "300", Allowed: "0 to 60000", About: "Longest wait for a free slot in a lasting overload; a request that would wait longer is refused as not run.", Set: Millis(&d.QueueWaitAtMost, 0, time.Minute)},
	}
}

func (d *Document) retryFields() []Field {
	return []Field{
		{Section: "Retries", Key: "AttemptsAtMost", Unit: "attempts", Default: "3", Allowed: "1 to 5", About: "Attempts of one request, the first included.", Set: Int(&d.AttemptsAtMost, 1, 5)},
		{Section: "Retries", Key: "ExtraAttemptShare", Default: "0.06", Allowed: "0 to 0.5", About: "Retries and hedges as a share of requests.", Set: Float(&d.ExtraAttemptShare, 0, 0.5)},
		{Section: "Retries", Key: "ExtraBurst", Unit: "attempts", Default: "0", Allowed: "0 to 1000; 0 means 20", About: "Retries and hedges that one entry host may save up.", Set: Float(&d.ExtraBurst, 0, 1000)},
		{Section: "Retries", Key: "HedgeQuantile", Default: "0.95", Allowed: "0.5 to 1", About: "Quantile of the service's own latency after which a read is hedged; 1 turns hedging off.", Set: Float(&d.HedgeQuantile, 0.5, 1)},
		{Section: "Retries", Key: "BusyShare", Default: "0.9", Allowed: "0 to 1", About: "Share of busy slots above which no extra attempts are made.", Set: Float(&d.BusyShare, 0, 1)},
	}
}

func (d *Document) measuringFields() []Field {
	return []Field{
		{Section: "Measuring", Key: "ProbesPerWindow", Unit: "probes", Default: "40", Allowed: "0, or EntryHostsAtMost to 100000", About: "Probes that one target may get from all entry hosts together in any window.", Set: Int(&d.ProbesPerWindow, 0, 100000)},
		{Section: "Measuring", Key: "WindowMillis", Unit: "ms", Default: "10000", Allowed: "1000 to 600000", About: "Length of the window of ProbesPerWindow.", Set: Millis(&d.ProbeWindow, time.Second, 10*time.Minute)},
		{Section: "Measuring", Key: "QuietAfterMillis", Unit: "ms", Default: "2000", Allowed: "0 to 600000; 0 turns probes off", About: "How long a target may go unheard before its holder probes it.", Set: Millis(&d.QuietAfter, 0, 10*time.Minute)},
	}
}

func (d *Document) steeringFields() []Field {
	return []Field{
		{Section: "Steering", Key: "Policy", Default: PolicyHeld, Allowed: "Held, Speed, Reports, TwoChoices, RoundRobin or Random", About: "How a target is chosen.", Set: Choice(&d.Policy, PolicyHeld, PolicySpeed, PolicyReports, PolicyTwoChoices, PolicyRoundRobin, PolicyRandom)},
		{Section: "Steering", Key: "Holders", Unit: "hosts", Default: "1", Allowed: "0 to 1000; 0 means every host", About: "Entry hosts that the callers of the service are steered to.", Set: Int(&d.Holders, 0, 1000)},
		{Section: "Steering", Key: "DirectoryHoldMillis", Unit: "ms", Default: "5000", Allowed: "100 to 600000", About: "How long callers may keep a directory answer.", Set: Millis(&d.DirectoryHold, 100*time.Millisecond, 10*time.Minute)},
	}
}

// Parse returns the checked document; the error is a *FieldError.
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

func (d *Document) checkTogether(file string) error {
	if d.ConnectionsPerTarget < d.EntryHostsAtMost {
		return &FieldError{File: file, Section: "Limits", Key: "ConnectionsPerTarget", Value: strconv.Itoa(d.ConnectionsPerTarget), Allowed: "no less than EntryHostsAtMost, so that every host has a share of one"}
	}
	if d.ProbesPerWindow > 0 && d.ProbesPerWindow < d.EntryHostsAtMost {
		return &FieldError{File: file, Section: "Measuring", Key: "ProbesPerWindow", Value: strconv.Itoa(d.ProbesPerWindow), Allowed: "0, or no less than EntryHostsAtMost, so that fixed shares add up to the budget"}
	}
	return nil
}

// ConnectionShare is the number of connections that one entry host may open to one target.
func (d *Document) ConnectionShare() int {
	return d.ConnectionsPerTarget / d.EntryHostsAtMost
}

// ProbeShare is the number of probes that one entry host may send to one target in a window.
func (d *Document) ProbeShare() int {
	return d.ProbesPerWindow / d.EntryHostsAtMost
}
