package admin

import (
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

// Status is what one entry host knows, for people and programs.
type Status struct {
	Host          string
	Incarnation   uint64
	FailureDomain string
	Ready         bool
	Leaving       bool
	Isolated      bool
	// LogAgeMillis is the time since the log was last read well, in ms.
	LogAgeMillis int64
	Members      []Member
	Services     []Service
}

// Member is an entry host as another one sees it.
type Member struct {
	Name          string
	FailureDomain string
	AdminAddress  string
	State         string
	Incarnation   uint64
	HeardMillis   int64
	// ClockLeadMicros is how far the member's clock is ahead of the asked host's, in µs.
	ClockLeadMicros int64
}

// Service is the state of one service at the host.
type Service struct {
	Name    string
	Version uint64
	Policy  string
	Holders []string
	IsHeld  bool
	Waiting int
	Load    float64
	Targets []Target
}

// Target is a target as the host sees it.
type Target struct {
	Name            string
	FailureDomain   string
	Address         string
	State           string
	Cause           string
	InFlight        int
	Limit           int
	ReportedRunning int
	ReportedWaiting int
	HeardMillis     int64
	LastMicros      int64
	IsSpare         bool
}

// Document is a document that the host knows.
type Document struct {
	Service string
	Version uint64
	Author  string
	Text    string
	// InForce says that the host serves by it.
	InForce bool
}

// Documents is what the host knows of all documents.
type Documents struct {
	Host    string
	Ready   bool
	Through uint64
	Known   []Document
}

// Events are the events of one host and its clock when it answered.
type Events struct {
	Host         string
	NowUnixNanos int64
	Events       []event.Event
}
