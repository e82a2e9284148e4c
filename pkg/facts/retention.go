package facts

import "time"

// OutageRetention keeps facts for a while that went missing in an outage of the log:
// their owners could not renew them, and may be well.
type OutageRetention struct {
	minOutageAge time.Duration
	retainFor     time.Duration
	retainUntil     time.Time
	retained     []Fact
}

// NewOutageRetention returns a keeper. An outage is a time in which the topic's knowledge
// grows older than outageAge; missing facts are kept for grace after it.
func NewOutageRetention(outageAge, grace time.Duration) OutageRetention {
	return OutageRetention{minOutageAge: outageAge, retainFor: grace}
}

// Observe looks at a topic before a delta is applied.
func (l *OutageRetention) Observe(now time.Time, topic *Topic) {
	if topic.IsLoaded() && topic.Age(now) >= l.minOutageAge {
		l.retainUntil = now.Add(l.retainFor)
		l.retained = topic.Facts()
	}
}

// AddRetained returns the facts in force with those that went missing in the last outage.
func (l *OutageRetention) AddRetained(now time.Time, inForce []Fact) []Fact {
	if !now.Before(l.retainUntil) {
		l.retained = nil
		return inForce
	}
	present := make(map[string]bool, len(inForce))
	for i := range inForce {
		present[inForce[i].Key] = true
	}
	for i := range l.retained {
		if !present[l.retained[i].Key] {
			inForce = append(inForce, l.retained[i])
		}
	}
	return inForce
}

// HasExpired reports whether kept facts have to be dropped now.
func (l *OutageRetention) HasExpired(now time.Time) bool {
	return l.retained != nil && !now.Before(l.retainUntil)
}
