package facts

import "time"

// Lapse keeps facts for a while that went missing in an outage of the log:
// their owners could not renew them, and may be well.
type Lapse struct {
	outageAge time.Duration
	grace     time.Duration
	until     time.Time
	known     []Fact
}

// NewLapse returns a keeper. An outage is a time in which the topic's knowledge
// grows older than outageAge; missing facts are kept for grace after it.
func NewLapse(outageAge, grace time.Duration) Lapse {
	return Lapse{outageAge: outageAge, grace: grace}
}

// Note looks at a topic before a delta is applied.
func (l *Lapse) Note(now time.Time, topic *Topic) {
	if topic.IsKnown() && topic.Age(now) >= l.outageAge {
		l.until = now.Add(l.grace)
		l.known = topic.Facts()
	}
}

// Keep returns the facts in force with those that went missing in the last outage.
func (l *Lapse) Keep(now time.Time, inForce []Fact) []Fact {
	if !now.Before(l.until) {
		l.known = nil
		return inForce
	}
	present := make(map[string]bool, len(inForce))
	for i := range inForce {
		present[inForce[i].Key] = true
	}
	for i := range l.known {
		if !present[l.known[i].Key] {
			inForce = append(inForce, l.known[i])
		}
	}
	return inForce
}

// IsOver reports whether kept facts have to be dropped now.
func (l *Lapse) IsOver(now time.Time) bool {
	return l.known != nil && !now.Before(l.until)
}
