package facts

import (
	"cmp"
	"slices"
	"time"
)

// removedKept is how long the removal of a key is told to other hosts; one that
// asks for older changes gets the whole topic.
const removedKept = time.Minute

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

// entry is a fact with the time since which its removal is known.
type entry struct {
	Fact

	removed time.Time
}

// Topic is one host's knowledge of a topic; it is not safe for concurrent use.
type Topic struct {
	entries   map[string]entry
	through   uint64
	confirmed time.Time
	// keys are the keys in force, in order; nil after one was added or removed.
	keys []string
	// forgotten is the offset below which removals are not all kept.
	forgotten uint64
}

// NewTopic returns a topic of which nothing is known.
func NewTopic() *Topic {
	return &Topic{entries: make(map[string]entry)}
}

// Through returns the offset through which the topic is known.
func (t *Topic) Through() uint64 {
	return t.through
}

// IsLoaded reports whether the topic was ever read to its end.
func (t *Topic) IsLoaded() bool {
	return !t.confirmed.IsZero()
}

// Age returns how long ago the knowledge was confirmed as complete.
func (t *Topic) Age(now time.Time) time.Duration {
	return now.Sub(t.confirmed)
}

// MarkStale forgets how recent the knowledge is, for a host that may have slept.
func (t *Topic) MarkStale(now time.Time, age time.Duration) {
	if t.IsLoaded() && t.Age(now) < age {
		t.confirmed = now.Add(-age)
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
		if t.take(now, &delta.Facts[i]) {
			changed = true
		}
	}
	if isWhole {
		// A whole delta does not name the keys that were removed before it.
		t.forgotten = max(t.forgotten, delta.Through)
	}
	t.Confirm(now, delta.Through, delta.Age)
	t.through = max(t.through, delta.Through)
	t.forget(now)
	return changed
}

// Confirm notes that the log ended at an offset some time ago.
func (t *Topic) Confirm(now time.Time, through uint64, age time.Duration) {
	at := now.Add(-age)
	if through >= t.through && at.After(t.confirmed) {
		t.confirmed = at
	}
}

func (t *Topic) take(now time.Time, f *Fact) bool {
	known, found := t.entries[f.Key]
	if found && known.Offset >= f.Offset {
		return false
	}
	if f.Offset < t.forgotten && !found {
		return false
	}
	added := entry{Fact: *f}
	if f.Removed {
		added.removed = now
	}
	t.entries[f.Key] = added
	if !found || known.Removed != f.Removed {
		t.keys = nil
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
	for key, known := range t.entries {
		if kept[key] || known.Removed || known.Offset >= delta.Through {
			continue
		}
		t.entries[key] = entry{Fact: Fact{Key: key, Offset: max(delta.Through, 1) - 1, Removed: true}, removed: now}
		t.keys = nil
		changed = true
	}
	return changed
}

// forget drops old removals, so that the table is bounded by the living keys.
func (t *Topic) forget(now time.Time) {
	for key, known := range t.entries {
		if known.Removed && now.Sub(known.removed) > removedKept {
			t.forgotten = max(t.forgotten, known.Offset+1)
			delete(t.entries, key)
		}
	}
}

// Facts returns the facts in force, by key.
func (t *Topic) Facts() []Fact {
	if t.keys == nil {
		for key, known := range t.entries {
			if !known.Removed {
				t.keys = append(t.keys, key)
			}
		}
		slices.Sort(t.keys)
	}
	kept := make([]Fact, 0, len(t.keys))
	for _, key := range t.keys {
		kept = append(kept, t.entries[key].Fact)
	}
	return kept
}

// Since returns what changed from an offset on, for another host.
func (t *Topic) Since(now time.Time, from uint64) Delta {
	delta := Delta{Through: t.through, IsSnapshot: from < t.forgotten || from == 0, Age: t.Age(now)}
	for _, known := range t.entries {
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
