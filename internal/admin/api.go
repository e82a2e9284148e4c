package admin

import (
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

// Status is the state of the entry host that answers the request.
type Status struct {
	Host string
	// Incarnation is the start time of the host's process in ns since 1970.
	Incarnation   uint64
	FailureDomain string
	// Ready is set once the host has read the documents in force, or the configuration and
	// the targets if the platform has a store, which is a set of logs that replaces the log
	// of documents. It stays set.
	Ready bool
	// Leaving is set while the host shuts down.
	Leaving bool
	// Isolated is set while the host has reached neither the platform nor other entry hosts
	// for so long that others may have taken over its targets. It is never set if the platform
	// has a store or the membership table has no other host.
	Isolated bool
	// LogAgeMillis is the time since the host last read the log of documents or the store
	// successfully, or since it started if it never has, in ms.
	LogAgeMillis int64
	Members      []Member
	Services     []Service
}

// Member is the row of one entry host in the membership table.
type Member struct {
	Name          string
	FailureDomain string
	AdminAddress  string
	// State is Alive, Leaving or Failed.
	State       string
	Incarnation uint64
	// HeardMillis is the time since the last sign of life of the member, such as a beacon or
	// a higher heartbeat counter, in ms.
	HeardMillis int64
	// ClockLeadMicros is the time on the member's clock minus that on the clock of the
	// answering host, in µs.
	ClockLeadMicros int64
}

// Service is the state of one service at the host.
type Service struct {
	Name string
	// Version is that of the service's settings.
	Version uint64
	// Policy is the name of the rule by which targets are chosen.
	Policy string
	// Holders are the entry hosts that send requests to the service's targets. IsHeld is
	// set if the host is one of them.
	Holders []string
	IsHeld  bool
	// Waiting is the number of requests that wait for a target.
	Waiting int
	// Load is the smoothed share of busy slots, from 0 to 1. A target has one slot for
	// each request that it can process at the same time. Each waiting request counts as
	// a busy slot.
	Load    float64
	Targets []Target
}

// Target is the state of one target, a backend server of the service, at the host.
type Target struct {
	Name          string
	FailureDomain string
	Address       string
	// State is InUse, Draining, Ejected or HeldElsewhere. A draining target gets no new
	// requests. An ejected target gets no requests for a while, and Cause says why.
	// HeldElsewhere is the state of all other targets with IsSpare.
	State string
	Cause string
	// InFlight is the number of the host's own requests at the target, and Limit its
	// current concurrency limit.
	InFlight int
	Limit    int
	// ReportedRunning and ReportedWaiting are the numbers of requests, from all hosts,
	// in the target's last report.
	ReportedRunning int
	ReportedWaiting int
	// HeardMillis is the time since the target's last answer or report, or the last failed
	// probe, in ms.
	HeardMillis int64
	// LastMicros is the latency of the last attempt, in µs.
	LastMicros int64
	// IsSpare is set if another entry host holds and probes the target. Depending on the
	// policy, this host uses it only if none of its held targets is usable, or if it is
	// better than these.
	IsSpare bool
}

// Document is one version of the settings of a service.
type Document struct {
	Service string
	Version uint64
	Author  string
	Text    string
	// InForce is set if the host applies this version.
	InForce bool
}

// Documents lists the versions of documents that the host has stored.
type Documents struct {
	Host string
	// Ready is as in Status.
	Ready bool
	// Through is the last offset of the log of documents that the host has applied.
	Through uint64
	Known   []Document
}

// Events are the events that one host has stored.
type Events struct {
	Host string
	// NowUnixNanos is the host's clock at the reply, in ns since 1970.
	NowUnixNanos int64
	Events       []event.Event
}
