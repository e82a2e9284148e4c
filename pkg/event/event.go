package event

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one decision of a host or one change that it detected.
type Event struct {
	// Time is by the clock of the host that recorded the event.
	Time time.Time
	// Host and Incarnation identify the process that recorded the event.
	Host        string
	Incarnation uint64
	// Sequence is the number of the event within its incarnation, from 0.
	Sequence uint64
	// Kind is a Pascal case name such as RequestDone.
	Kind string
	// Service, Target and Request are empty where they do not apply.
	Service string `json:",omitempty"`
	Target  string `json:",omitempty"`
	Request string `json:",omitempty"`
	// Cause is one line that says why the event occurred.
	Cause string `json:",omitempty"`
}

// Ring is a ring buffer with the newest events of one process. It is safe for concurrent use.
type Ring struct {
	mu          sync.Mutex
	host        string
	incarnation uint64
	sequence    uint64
	capacity    int
	events      []Event
	now         func() time.Time
}

// NewRing returns a ring buffer for the given number of events, which must be at least 1.
// The function now returns the time of an event when it is added.
func NewRing(host string, incarnation uint64, capacity int, now func() time.Time) *Ring {
	return &Ring{host: host, incarnation: incarnation, capacity: capacity, now: now}
}

// maxTextBytes is the length to which the texts of a stored event are cut. Some contain
// bytes that a caller or a target has sent.
const maxTextBytes = 512

// bounded returns a copy of a text that is cut to maxTextBytes, so that a longer text
// can be freed.
func bounded(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxTextBytes]), "") + "..."
}

// Add stores an event, with its Time, Host, Incarnation and Sequence set by the ring buffer.
// Texts of more than 512 bytes are cut.
func (r *Ring) Add(added Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added.Time = r.now()
	added.Host = r.host
	added.Incarnation = r.incarnation
	added.Service, added.Target = bounded(added.Service), bounded(added.Target)
	added.Request, added.Cause = bounded(added.Request), bounded(added.Cause)
	added.Sequence = r.sequence
	r.sequence++
	if len(r.events) < r.capacity {
		r.events = append(r.events, added)
		return
	}
	r.events[added.Sequence%uint64(r.capacity)] = added
}

// Events returns the stored events that a filter selects, oldest first.
func (r *Ring) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := make([]Event, 0, len(r.events))
	for i := range r.events {
		if filter.Matches(&r.events[i]) {
			selected = append(selected, r.events[i])
		}
	}
	slices.SortFunc(selected, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return selected
}

// Filter selects events. Empty fields match every event.
type Filter struct {
	// Service, Target and Request must be equal. Kind is a prefix of the event's kind.
	Service, Target, Request, Kind string
	// Since and Until are the earliest and the latest time, both included.
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

func matchesValue(wanted, value string) bool {
	return wanted == "" || wanted == value
}

// HostEvents are the events of one host, for Merge.
type HostEvents struct {
	Events []Event
	// ClockLead is the estimate of how far the host's clock is ahead of the reader's.
	ClockLead time.Duration
}

// Merge returns the events of all hosts, with their times converted to the reader's
// clock, in order of time. Events of one incarnation with equal times are in the order of
// their Sequence. If the clock of a host stepped back, neither order is certain.
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
