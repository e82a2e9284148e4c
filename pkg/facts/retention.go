package facts

import "time"

// OutageRetention keeps facts in use for a limited time if they expired in the store
// during an outage of it. Their owners could not renew them and may be alive.
type OutageRetention struct {
	minOutageAge time.Duration
	retainFor    time.Duration
	retainUntil  time.Time
	retained     []Fact
}

// NewOutageRetention returns an OutageRetention that takes an age of the topic of at
// least minOutageAge as an outage of the store, and keeps expired facts for
// retainFor after the end of the outage.
func NewOutageRetention(minOutageAge, retainFor time.Duration) OutageRetention {
	return OutageRetention{minOutageAge: minOutageAge, retainFor: retainFor}
}

// Observe must be called before a delta or a confirmation is applied to the topic,
// since it recognises the end of an outage by the topic's age until then.
func (r *OutageRetention) Observe(now time.Time, topic *Topic) {
	if topic.IsLoaded() && topic.Age(now) >= r.minOutageAge {
		r.retainUntil = now.Add(r.retainFor)
		r.retained = topic.Facts()
	}
}

// AddRetained returns the topic's current facts together with those that were
// current in the last outage and are missing now, until their time is over.
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

// HasExpired reports whether the time of the retained facts is over, so that the
// caller has to call AddRetained again, which drops them.
func (r *OutageRetention) HasExpired(now time.Time) bool {
	return r.retained != nil && !now.Before(r.retainUntil)
}
