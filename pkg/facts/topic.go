package facts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// removalRetention is how long the removal of a key is stored in order to send it to
// other hosts. A host that requests changes from before a dropped removal gets a snapshot.
const removalRetention = time.Minute

const (
	// maxKnownReaders is the number of hosts from which those are forgotten whose last read
	// became known more than readerRetention ago. No message is on its way for so long.
	maxKnownReaders = 64
	readerRetention = 30 * time.Second
)

// Fact is a record of one key. In a Topic it is the newest one of the key.
type Fact struct {
	Key string
	// Offset is the position of the record in its topic.
	Offset uint64
	// Value is the content of the record; nil if Removed.
	Value []byte
	// Removed says that the record removes the key.
	Removed bool
}

// Delta is a part of a topic, read from the store or received from another host.
type Delta struct {
	// Era is that of the store to which the offsets belong.
	Era uint64
	// Through is the offset after the last record that the delta covers.
	Through uint64
	// IsSnapshot says that Facts holds every key that existed at Through, so that other keys are removed.
	IsSnapshot bool
	Facts      []Fact
	// Age is the time since the store was last known to have no records at Through or later.
	Age time.Duration
	// Read is the read of the store that Age counts from.
	Read Read
}

// Read identifies a read of the store. Hosts pass on what it showed, with its age. The zero
// value is unknown, as from hosts that don't state it.
type Read struct {
	// By identifies the host that read the store, and the run of its process.
	By uint32
	// Number increases with each read of the topic by this host.
	Number uint64
}

// knownReads holds the last read of each host that this host knows, so that each read confirms
// a topic only once. The time that a message waits at a slow host is not part of the age that it
// states. If hosts confirmed each other with the same read again and again, its age would
// shrink by that time in each round.
type knownReads map[uint32]knownRead

type knownRead struct {
	number  uint64
	addedAt time.Time
}

// add reports whether a read is later than those known of its host, and adds it.
func (k knownReads) add(now time.Time, read Read) bool {
	if read == (Read{}) {
		return true
	}
	known, found := k[read.By]
	if found && read.Number <= known.number {
		return false
	}
	if !found && len(k) >= maxKnownReaders {
		maps.DeleteFunc(k, func(_ uint32, r knownRead) bool { return now.Sub(r.addedAt) > readerRetention })
	}
	k[read.By] = knownRead{number: read.Number, addedAt: now}
	return true
}

// storedFact is a fact and, if it is a removal, the time at which it was applied.
type storedFact struct {
	Fact

	removedAt time.Time
}

// Topic holds the facts of a topic on one host; it is not safe for concurrent use.
//
// The offsets of a topic belong to an era of the store. A store that returns from an older
// copy has lost its last records, gives their offsets out again and begins a new era.
type Topic struct {
	byKey map[string]storedFact
	// era is that of the store to which the offsets belong.
	era uint64
	// through is the offset below which all records have been applied.
	through uint64
	// confirmedAt is the last time at which the store is known to have had no records
	// at through or later; zero before the first delta or confirmation.
	confirmedAt time.Time
	// read is the read of the store that confirmedAt follows from.
	read  Read
	reads knownReads
	// sortedKeys are the keys that are not removed; nil if Facts has to list them anew.
	sortedKeys []string
	// removalsPrunedBelow is the offset below which some removals may no longer be stored.
	removalsPrunedBelow uint64
}

// NewTopic returns an empty topic that is not loaded.
func NewTopic() *Topic {
	return &Topic{byKey: make(map[string]storedFact), reads: make(knownReads)}
}

// Through returns the offset below which all records have been applied.
func (t *Topic) Through() uint64 {
	return t.through
}

// Era returns the era of the store to which the offsets of the topic belong.
func (t *Topic) Era() uint64 {
	return t.era
}

// EndsEra reports whether an era is later than that of the topic. Everything must then be
// read again.
func (t *Topic) EndsEra(era uint64) bool {
	return t.IsLoaded() && era > t.era
}

// IsLoaded reports whether Apply or Confirm has ever confirmed the topic as complete.
func (t *Topic) IsLoaded() bool {
	return !t.confirmedAt.IsZero()
}

// Age returns the time since the topic was last confirmed as complete. It is the
// largest duration for a topic that is not loaded.
func (t *Topic) Age(now time.Time) time.Duration {
	return now.Sub(t.confirmedAt)
}

// MarkStale raises the age of a loaded topic to at least the given one, for a host
// that may have been suspended, since the age did not grow in the meantime.
func (t *Topic) MarkStale(now time.Time, age time.Duration) {
	if t.IsLoaded() && t.Age(now) < age {
		t.confirmedAt = now.Add(-age)
	}
}

// Apply merges a delta and reports whether the facts changed. Records that are older
// than the stored ones of their keys are ignored. A snapshot that ends before the
// topic's own offset removes no keys. A delta that is not a snapshot must contain the
// changes from the topic's offset, or from a lower one, on. A snapshot of a later era
// replaces the topic, and other deltas of another era are ignored.
func (t *Topic) Apply(now time.Time, delta *Delta) bool {
	if t.EndsEra(delta.Era) && delta.IsSnapshot {
		return t.replace(now, delta)
	}
	if t.IsLoaded() && delta.Era != t.era {
		return false
	}
	t.era = delta.Era
	changed := false
	isSnapshot := delta.IsSnapshot && delta.Through >= t.through
	if isSnapshot {
		changed = t.removeMissing(now, delta)
	}
	for i := range delta.Facts {
		if t.applyFact(now, &delta.Facts[i]) {
			changed = true
		}
	}
	if isSnapshot {
		// A snapshot does not contain the keys that were removed before it.
		t.removalsPrunedBelow = max(t.removalsPrunedBelow, delta.Through)
	}
	t.Confirm(now, delta.Extent())
	t.through = max(t.through, delta.Through)
	t.pruneRemovals(now)
	return changed
}

// replace puts a snapshot of a later era in the place of all facts. It reports a change in
// any case.
func (t *Topic) replace(now time.Time, delta *Delta) bool {
	*t = Topic{byKey: make(map[string]storedFact, len(delta.Facts)), reads: make(knownReads), era: delta.Era, through: delta.Through, removalsPrunedBelow: delta.Through}
	for i := range delta.Facts {
		t.byKey[delta.Facts[i].Key] = storedFact{Fact: delta.Facts[i]}
	}
	t.Confirm(now, delta.Extent())
	return true
}

// Extent says how far a topic was read, and how long ago that was confirmed.
type Extent struct {
	// Era is that of the store to which Through belongs.
	Era uint64
	// Through is the offset after the last record that was read.
	Through uint64
	// Age is the time since the store was last known to have no records at Through or later.
	Age time.Duration
	// Read is the read of the store that Age counts from.
	Read Read
}

// Extent returns the extent of the topic that the delta covers.
func (d *Delta) Extent() Extent {
	return Extent{Era: d.Era, Through: d.Through, Age: d.Age, Read: d.Read}
}

// Extent returns how far the topic has been read.
func (t *Topic) Extent(now time.Time) Extent {
	return Extent{Era: t.era, Through: t.through, Age: t.Age(now), Read: t.read}
}

// Confirm records that at the age of the extent before now the store had no records at its
// offset or later. The caller must have applied all records below that offset. An extent with
// an offset below the topic's own is ignored, since it is older than the topic, and so is one
// of another era, or one from a read that has confirmed the topic before.
func (t *Topic) Confirm(now time.Time, extent Extent) {
	if extent.Era != t.era || extent.Through < t.through || !t.reads.add(now, extent.Read) {
		return
	}
	if at := now.Add(-extent.Age); at.After(t.confirmedAt) {
		t.confirmedAt = at
		t.read = extent.Read
	}
}

// applyFact stores a record if it is newer than the stored one of its key, and
// reports whether that changes the facts.
func (t *Topic) applyFact(now time.Time, f *Fact) bool {
	stored, found := t.byKey[f.Key]
	if found && stored.Offset >= f.Offset {
		return false
	}
	if f.Offset < t.removalsPrunedBelow && !found {
		// The key may have been removed since, by a record that is no longer stored.
		return false
	}
	added := storedFact{Fact: *f}
	if f.Removed {
		added.removedAt = now
	}
	t.byKey[f.Key] = added
	if !found || stored.Removed != f.Removed {
		t.sortedKeys = nil
	}
	return !f.Removed || (found && !stored.Removed)
}

// removeMissing removes the keys that are missing in a snapshot, and reports whether
// there were any. The offsets of their removals are unknown, so each gets the last
// offset that the snapshot covers.
func (t *Topic) removeMissing(now time.Time, delta *Delta) bool {
	kept := make(map[string]bool, len(delta.Facts))
	for i := range delta.Facts {
		kept[delta.Facts[i].Key] = true
	}
	changed := false
	for key, stored := range t.byKey {
		if kept[key] || stored.Removed || stored.Offset >= delta.Through {
			continue
		}
		t.byKey[key] = storedFact{Fact: Fact{Key: key, Offset: max(delta.Through, 1) - 1, Removed: true}, removedAt: now}
		t.sortedKeys = nil
		changed = true
	}
	return changed
}

// pruneRemovals drops old removals, so that memory grows with the keys that exist and not with all that ever did.
func (t *Topic) pruneRemovals(now time.Time) {
	for key, stored := range t.byKey {
		if stored.Removed && now.Sub(stored.removedAt) > removalRetention {
			t.removalsPrunedBelow = max(t.removalsPrunedBelow, stored.Offset+1)
			delete(t.byKey, key)
		}
	}
}

// Facts returns the facts of all keys that are not removed, sorted by key.
func (t *Topic) Facts() []Fact {
	if t.sortedKeys == nil {
		for key, stored := range t.byKey {
			if !stored.Removed {
				t.sortedKeys = append(t.sortedKeys, key)
			}
		}
		slices.Sort(t.sortedKeys)
	}
	kept := make([]Fact, 0, len(t.sortedKeys))
	for _, key := range t.sortedKeys {
		kept = append(kept, t.byKey[key].Fact)
	}
	return kept
}

// Since returns the changes from an offset on, to be sent to another host. It is a
// snapshot if the offset is zero or if removals at it or later may have been dropped.
func (t *Topic) Since(now time.Time, from uint64) Delta {
	delta := Delta{Era: t.era, Through: t.through, IsSnapshot: from < t.removalsPrunedBelow || from == 0, Age: t.Age(now), Read: t.read}
	for _, stored := range t.byKey {
		if delta.IsSnapshot && stored.Removed {
			continue
		}
		if delta.IsSnapshot || stored.Offset >= from {
			delta.Facts = append(delta.Facts, stored.Fact)
		}
	}
	slices.SortFunc(delta.Facts, func(a, b Fact) int { return cmp.Compare(a.Offset, b.Offset) })
	return delta
}
