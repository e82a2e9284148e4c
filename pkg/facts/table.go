package facts

import (
	"cmp"
	"slices"
	"time"
)

// removalRetention is how long the removal of a key is told to other hosts; one that
// asks for older changes gets the whole topic.
const removalRetention = time.Minute

// Fact is the newest record of one key.
type Fact struct {
	Key string
	// Offset is the place of the record in its topic.
	Offset uint64
	// Value is the record's content; a removed key has none.
	Value []byte
	// Removed says that the key was taken away.
	Removed bool
}

// Delta is what a log or another host says of a topic.
type Delta struct {
	// Through is the offset that the delta reaches to, exclusively.
	Through uint64
	// IsSnapshot says that a key which is not in Facts is gone.
	IsSnapshot bool
	Facts      []Fact
	// Age is how long ago the log confirmed that nothing lies beyond Through.
	Age time.Duration
}

// storedFact is a fact with the time since which its removal is known.
type storedFact struct {
	Fact

	removedAt time.Time
}

// Topic is one host's knowledge of a topic; it is not safe for concurrent use.
type Topic struct {
	stored   map[string]storedFact
	through   uint64
	confirmedAt time.Time
	// sortedKeys are the sortedKeys in force, in order; nil after one was added or removed.
	sortedKeys []string
	// removalsPrunedBelow is the offset below which removals are not all kept.
	removalsPrunedBelow uint64
}

// NewTopic returns a topic of which nothing is known.
func NewTopic() *Topic {
	return &Topic{stored: make(map[string]storedFact)}
}

// Through returns the offset through which the topic is known.
func (t *Topic) Through() uint64 {
	return t.through
}

// IsLoaded reports whether the topic was ever read to its end.
func (t *Topic) IsLoaded() bool {
	return !t.confirmedAt.IsZero()
}

// Age returns how long ago the knowledge was confirmed as complete.
func (t *Topic) Age(now time.Time) time.Duration {
	return now.Sub(t.confirmedAt)
}

// MarkStale forgets how recent the knowledge is, for a host that may have slept.
func (t *Topic) MarkStale(now time.Time, age time.Duration) {
	if t.IsLoaded() && t.Age(now) < age {
		t.confirmedAt = now.Add(-age)
	}
}

// Apply takes a delta and reports whether a fact changed.
func (t *Topic) Apply(now time.Time, delta *Delta) bool {
	changed := false
	isWhole := delta.IsSnapshot && delta.Through >= t.through
	if isWhole {
		changed = t.removeMissing(now, delta)
	}
	for i := range delta.Facts {
		if t.applyFact(now, &delta.Facts[i]) {
			changed = true
		}
	}
	if isWhole {
		// A whole delta does not name the keys that were removed before it.
		t.removalsPrunedBelow = max(t.removalsPrunedBelow, delta.Through)
	}
	t.Confirm(now, delta.Through, delta.Age)
	t.through = max(t.through, delta.Through)
	t.pruneRemovals(now)
	return changed
}

// Confirm notes that the log ended at an offset some time ago.
func (t *Topic) Confirm(now time.Time, through uint64, age time.Duration) {
	at := now.Add(-age)
	if through >= t.through && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

func (t *Topic) applyFact(now time.Time, f *Fact) bool {
	known, found := t.stored[f.Key]
	if found && known.Offset >= f.Offset {
		return false
	}
	if f.Offset < t.removalsPrunedBelow && !found {
		return false
	}
	added := storedFact{Fact: *f}
	if f.Removed {
		added.removedAt = now
	}
	t.stored[f.Key] = added
	if !found || known.Removed != f.Removed {
		t.sortedKeys = nil
	}
	return !f.Removed || (found && !known.Removed)
}

// removeMissing removes the keys that a whole delta does not hold.
func (t *Topic) removeMissing(now time.Time, delta *Delta) bool {
	kept := make(map[string]bool, len(delta.Facts))
	for i := range delta.Facts {
		kept[delta.Facts[i].Key] = true
	}
	changed := false
	for key, known := range t.stored {
		if kept[key] || known.Removed || known.Offset >= delta.Through {
			continue
		}
		t.stored[key] = storedFact{Fact: Fact{Key: key, Offset: max(delta.Through, 1) - 1, Removed: true}, removedAt: now}
		t.sortedKeys = nil
		changed = true
	}
	return changed
}

// pruneRemovals drops old removals, so that the table is bounded by the living keys.
func (t *Topic) pruneRemovals(now time.Time) {
	for key, known := range t.stored {
		if known.Removed && now.Sub(known.removedAt) > removalRetention {
			t.removalsPrunedBelow = max(t.removalsPrunedBelow, known.Offset+1)
			delete(t.stored, key)
		}
	}
}

// Facts returns the facts in force, by key.
func (t *Topic) Facts() []Fact {
	if t.sortedKeys == nil {
		for key, known := range t.stored {
			if !known.Removed {
				t.sortedKeys = append(t.sortedKeys, key)
			}
		}
		slices.Sort(t.sortedKeys)
	}
	kept := make([]Fact, 0, len(t.sortedKeys))
	for _, key := range t.sortedKeys {
		kept = append(kept, t.stored[key].Fact)
	}
	return kept
}

// Since returns what changed from an offset on, for another host.
func (t *Topic) Since(now time.Time, from uint64) Delta {
	delta := Delta{Through: t.through, IsSnapshot: from < t.removalsPrunedBelow || from == 0, Age: t.Age(now)}
	for _, known := range t.stored {
		if delta.IsSnapshot && known.Removed {
			continue
		}
		if delta.IsSnapshot || known.Offset >= from {
			delta.Facts = append(delta.Facts, known.Fact)
		}
	}
	slices.SortFunc(delta.Facts, func(a, b Fact) int { return cmp.Compare(a.Offset, b.Offset) })
	return delta
}
