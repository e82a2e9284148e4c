package event

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one decision or change worth explaining.
type Event struct {
	// Time is the wall clock of the host that recorded the event.
	Time time.Time
	// Host and Incarnation name the process that recorded the event.
	Host        string
	Incarnation uint64
	// Sequence orders the events of one incarnation.
	Sequence uint64
	// Kind is a Pascal case name such as RequestDone.
	Kind string
	// Service, Target and Request are empty where they do not apply.
	Service string `json:",omitempty"`
	Target  string `json:",omitempty"`
	Request string `json:",omitempty"`
	// Cause says why, in one line.
	Cause string `json:",omitempty"`
}

// Ring keeps the newest events of one process and is safe for concurrent use.
type Ring struct {
	mu          sync.Mutex
	host        string
	incarnation uint64
	sequence    uint64
	capacity    int
	events      []Event
	now         func() time.Time
}

// NewRing returns a ring that keeps capacity events.
func NewRing(host string, incarnation uint64, capacity int, now func() time.Time) *Ring {
	return &Ring{host: host, incarnation: incarnation, capacity: capacity, now: now}
}

// Add records an event; its time, host, incarnation and sequence are set by the ring.
func (r *Ring) Add(added Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added.Time = r.now()
	added.Host = r.host
	added.Incarnation = r.incarnation
	added.Sequence = r.sequence
	r.sequence++
	if len(r.events) < r.capacity {
		r.events = append(r.events, added)
		return
	}
	r.events[added.Sequence%uint64(r.capacity)] = added
}

// Events returns the kept events that match, oldest first.
func (r *Ring) Events(match Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make([]Event, 0, len(r.events))
	for i := range r.events {
		if match.Matches(&r.events[i]) {
			kept = append(kept, r.events[i])
		}
	}
	slices.SortFunc(kept, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return kept
}

// Filter selects events; empty members match everything.
type Filter struct {
	// Service, Target and Request match exactly; Kind matches a prefix.
	Service, Target, Request, Kind string
	// Since and Until bound the time; zero times do not bound.
	Since, Until time.Time
}

// Matches reports whether the filter selects e.
func (f Filter) Matches(e *Event) bool {
	return matchesValue(f.Service, e.Service) &&
		matchesValue(f.Target, e.Target) &&
		matchesValue(f.Request, e.Request) &&
		strings.HasPrefix(e.Kind, f.Kind) &&
		(f.Since.IsZero() || !e.Time.Before(f.Since)) &&
		(f.Until.IsZero() || !e.Time.After(f.Until))
}

func matchesValue(wanted, seen string) bool {
	return wanted == "" || wanted == seen
}

// HostEvents are the events of one host and the estimated lead of its clock over the reader's.
type HostEvents struct {
	Events []Event
	// ClockLead is subtracted from the times of the events.
	ClockLead time.Duration
}

// Merge returns one time line in the reader's clock; the order within an incarnation is kept.
func Merge(hosts []HostEvents) []Event {
	var merged []Event
	for _, host := range hosts {
		for _, e := range host.Events {
			e.Time = e.Time.Add(-host.ClockLead)
			merged = append(merged, e)
		}
	}
	slices.SortStableFunc(merged, func(a, b Event) int {
		if a.Host == b.Host && a.Incarnation == b.Incarnation {
			return cmp.Compare(a.Sequence, b.Sequence)
		}
		return a.Time.Compare(b.Time)
	})
	return merged
}
