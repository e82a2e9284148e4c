package facts

import "time"

// OutageRetention keeps facts in use for a limited time if they are missing in the
// store after an outage of it. They may have expired there only because the hosts and
// targets that wrote them could not renew them, and these may be alive.
type OutageRetention struct {
	minOutageAge time.Duration
	retainFor    time.Duration
	// retainUntil is when the retained facts expire.
	retainUntil time.Time
	// retained are the facts that were current in the last outage.
	retained []Fact
}

// NewOutageRetention returns an OutageRetention for which the store has an outage once
// the age of the topic is at least minOutageAge. It keeps facts that are missing after
// the outage for retainFor.
func NewOutageRetention(minOutageAge, retainFor time.Duration) OutageRetention {
	return OutageRetention{minOutageAge: minOutageAge, retainFor: retainFor}
}

// Observe must be called before each delta or confirmation is applied to the topic.
// Observe recognises an outage by the topic's age, which a delta or confirmation lowers.
func (r *OutageRetention) Observe(now time.Time, topic *Topic) {
	if topic.IsLoaded() && topic.Age(now) >= r.minOutageAge {
		r.Retain(now, topic)
	}
}

// Retain keeps the current facts of a topic as in an outage. It must be called before the
// topic is replaced by that of a later era, which lacks what was written last.
func (r *OutageRetention) Retain(now time.Time, topic *Topic) {
	r.retainUntil = now.Add(r.retainFor)
	r.retained = topic.Facts()
}

// AddRetained returns the topic's current facts together with those that were current
// in the last outage and are missing now. Once retainFor has passed since the outage,
// it drops the latter and returns only the current facts.
func (r *OutageRetention) AddRetained(now time.Time, current []Fact) []Fact {
	if !now.Before(r.retainUntil) {
		r.retained = nil
		return current
	}
	present := make(map[string]bool, len(current))
	for i := range current {
		present[current[i].Key] = true
	}
	for i := range r.retained {
		if !present[r.retained[i].Key] {
			current = append(current, r.retained[i])
		}
	}
	return current
}

// HasExpired reports whether retained facts have expired but are not dropped yet. The
// caller then has to call AddRetained again, which drops them.
func (r *OutageRetention) HasExpired(now time.Time) bool {
	return r.retained != nil && !now.Before(r.retainUntil)
}
