package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// State is the state of a member according to a table.
type State int

const (
	// Alive members have shown a sign of life within Timing.FailAfter.
	Alive State = iota
	// Leaving members have announced that they are stopping.
	Leaving
	// Failed members have shown no sign of life for Timing.FailAfter, or refused a connection, or stopped sending beacons.
	Failed
)

// String returns the Pascal case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Leaving:
		return "Leaving"
	default:
		return "Failed"
	}
}

// Info is the row of a member. The member sets the values of its own row, and other hosts copy them.
type Info struct {
	Name string
	// Incarnation distinguishes the processes that ran under the name; a later one has a larger number.
	Incarnation uint64
	// Counter is the heartbeat counter, which the member raises in every heartbeat period.
	Counter       uint64
	FailureDomain string
	// CallerAddress is where the member receives the requests of callers.
	CallerAddress string
	// PeerAddress is where it receives the calls of other hosts, such as exchanges of tables.
	PeerAddress string
	// AdminAddress is where it serves operators.
	AdminAddress string
	// BeaconAddress is where it receives beacons; empty if it receives none.
	BeaconAddress string
	// Capacity is the number of slots, summed over targets, that the host can keep busy; zero if it is unknown.
	Capacity int
	// Leaving says that the member has announced that it is stopping.
	Leaving bool
}

// Host returns the member as a host of pkg/steer.
func (i *Info) Host() steer.Host {
	return steer.Host{Name: i.Name, FailureDomain: i.FailureDomain, Capacity: i.Capacity}
}

// newerThan reports whether i replaces other, a row of the same member.
func (i *Info) newerThan(other *Info) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.Counter > other.Counter
}

// Member is a member's row with its state according to a table.
type Member struct {
	Info
	State State
	// LastSeen is the time of the last sign of life. MarkUnreachable and MarkSilent set
	// it so far back that the member counts as failed. If the member was alive before a
	// pause of this host, Tick sets it to half of Timing.FailAfter before now.
	LastSeen time.Time
	// silentSince is when MarkSilent was last called for this incarnation.
	silentSince time.Time
}

// Timing holds the timeouts of a table.
type Timing struct {
	// FailAfter is the time without a sign of life after which a member counts as failed.
	FailAfter time.Duration
	// RemoveAfter is the time without a sign of life after which the row of a member is removed.
	RemoveAfter time.Duration
}

// Table is one host's list of all members; it is not safe for concurrent use.
type Table struct {
	self     Info
	timing   Timing
	members  map[string]*Member
	rng      *rand.Rand
	lastTick time.Time
}

// New returns a table that holds only the host's own row. The seed, with the host's
// incarnation, determines the random choice of partners.
func New(self Info, timing Timing, seed uint64) *Table {
	return &Table{
		self:    self,
		timing:  timing,
		members: make(map[string]*Member),
		rng:     rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
}

// Self returns the host's own row.
func (t *Table) Self() Info {
	return t.self
}

// Leave marks the host's own row as leaving, and raises its counter so that the
// change replaces the row in other tables.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Counter++
}

// Tick raises the host's own counter and removes the rows of members without a sign
// of life for RemoveAfter. It must be called once per heartbeat period.
func (t *Table) Tick(now time.Time) {
	t.self.Counter++
	t.compensatePause(now)
	for name, m := range t.members {
		if now.Sub(m.LastSeen) > t.timing.RemoveAfter {
			delete(t.members, name)
		}
	}
}

// compensatePause recognises a pause of this host by two ticks that are more than half
// of FailAfter apart. It gives members that were alive before the pause half of
// FailAfter to show a sign of life, since the host could not receive any during the pause.
func (t *Table) compensatePause(now time.Time) {
	last := t.lastTick
	t.lastTick = now
	if last.IsZero() || now.Sub(last) <= t.timing.FailAfter/2 {
		return
	}
	for _, m := range t.members {
		if last.Sub(m.LastSeen) <= t.timing.FailAfter {
			m.LastSeen = now.Add(-t.timing.FailAfter / 2)
		}
	}
}

// maxMembers is the largest number of rows besides the host's own. Further ones are ignored,
// so that a faulty sender can't make the table grow without end.
const maxMembers = 4096

// Merge adds the rows of another host's table, or replaces older rows by them. A row
// that was added or replaced counts as a sign of life. For half of FailAfter after
// MarkSilent, only a row of another incarnation does.
func (t *Table) Merge(now time.Time, rows []Info) {
	for i := range rows {
		t.mergeRow(now, &rows[i])
	}
}

func (t *Table) mergeRow(now time.Time, row *Info) {
	if row.Name == t.self.Name || row.Name == "" {
		return
	}
	stored, found := t.members[row.Name]
	if !found {
		if len(t.members) < maxMembers {
			t.members[row.Name] = &Member{Info: *row, LastSeen: now}
		}
		return
	}
	if !row.newerThan(&stored.Info) {
		return
	}
	isRestarted := row.Incarnation != stored.Incarnation
	stored.Info = *row
	if isRestarted {
		stored.silentSince = time.Time{}
	}
	t.recordCounterRise(now, stored)
}

// staleCounterDivisor divides FailAfter to give the time after MarkSilent in which a
// risen counter does not revive the member. Counters reach all tables in less than that.
const staleCounterDivisor = 2

// recordCounterRise counts a risen counter as a sign of life, unless the member may
// have raised it before it became silent.
func (t *Table) recordCounterRise(now time.Time, m *Member) {
	if m.silentSince.IsZero() || now.Sub(m.silentSince) >= t.timing.FailAfter/staleCounterDivisor {
		m.LastSeen = now
	}
}

// MarkAlive records a sign of life of an incarnation of a member that was received
// outside an exchange of tables, such as a beacon.
func (t *Table) MarkAlive(now time.Time, name string, incarnation uint64) {
	m, found := t.members[name]
	if found && m.Incarnation == incarnation {
		m.LastSeen = now
	}
}

// Scaled returns the timeouts multiplied by a factor. A table with many members
// needs longer ones, because the heartbeat period grows with their number.
func (t Timing) Scaled(factor float64) Timing {
	t.FailAfter = time.Duration(float64(t.FailAfter) * factor)
	t.RemoveAfter = time.Duration(float64(t.RemoveAfter) * factor)
	return t
}

// SetTiming replaces the timeouts, also for signs of life that were received before.
func (t *Table) SetTiming(timing Timing) {
	t.timing = timing
}

// MarkUnreachable records that an incarnation of a member refused a connection. The
// member counts as failed until its next sign of life.
func (t *Table) MarkUnreachable(now time.Time, name string, incarnation uint64) {
	if m, found := t.members[name]; found && m.Incarnation == incarnation {
		m.LastSeen = now.Add(-t.timing.FailAfter - time.Nanosecond)
	}
}

// MarkSilent records that an incarnation of a member has stopped sending beacons. The
// member counts as failed until its next sign of life. For half of FailAfter a risen
// counter of this incarnation is no such sign, because counters that the member raised
// before may still be passed on from table to table.
func (t *Table) MarkSilent(now time.Time, name string, incarnation uint64) {
	t.MarkUnreachable(now, name, incarnation)
	if m, found := t.members[name]; found && m.Incarnation == incarnation {
		m.silentSince = now
	}
}

// Lookup returns a member by name, with its state at a time. It returns false if the
// table has no row of it.
func (t *Table) Lookup(now time.Time, name string) (Member, bool) {
	if name == t.self.Name {
		return t.selfMember(now), true
	}
	m, found := t.members[name]
	if !found {
		return Member{}, false
	}
	return t.memberAt(now, m), true
}

func (t *Table) selfMember(now time.Time) Member {
	own := Member{Info: t.self, LastSeen: now}
	return t.memberAt(now, &own)
}

func (t *Table) memberAt(now time.Time, m *Member) Member {
	current := *m
	switch {
	case now.Sub(m.LastSeen) > t.timing.FailAfter:
		current.State = Failed
	case m.Leaving:
		current.State = Leaving
	default:
		current.State = Alive
	}
	return current
}

// Count returns the number of rows.
func (t *Table) Count() int { return len(t.members) + 1 }

// Members returns all members, this host included, sorted by name.
func (t *Table) Members(now time.Time) []Member {
	all := make([]Member, 0, len(t.members)+1)
	all = append(all, t.selfMember(now))
	for _, m := range t.members {
		all = append(all, t.memberAt(now, m))
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Alive returns the members in the state Alive, this host included, sorted by name.
func (t *Table) Alive(now time.Time) []Member {
	return slices.DeleteFunc(t.Members(now), func(m Member) bool { return m.State != Alive })
}

// RowCounter is the short form of a row that hosts exchange in place of the whole row.
type RowCounter struct {
	// ID is the ID of the row, see RowID.
	ID uint32
	// Counter is the heartbeat counter in the row.
	Counter uint64
}

// rowID is a hash of the name, the incarnation and whether the member is leaving. If
// two rows have the same ID, a counter of one also counts for the other, and another
// host may be sent only one of the rows. That only slows requests down, since users of
// a table must remain correct if it is wrong.
func (i *Info) rowID() uint32 {
	text := append([]byte(i.Name), ' ')
	text = strconv.AppendUint(text, i.Incarnation, 10)
	text = strconv.AppendBool(append(text, ' '), i.Leaving)
	return uint32(xxhash.Sum64(text))
}

// RowID returns the ID of a member's row, a hash of its name, its incarnation and
// whether it is leaving. It returns false if the table has no row of the member.
func (t *Table) RowID(name string) (uint32, bool) {
	if name == t.self.Name {
		return t.self.rowID(), true
	}
	m, found := t.members[name]
	if !found {
		return 0, false
	}
	return m.rowID(), true
}

// MarkAliveResult is the result of MarkAliveByID.
type MarkAliveResult struct {
	// Names are the names of the members that were marked as alive.
	Names []string
	// HasRevived says that one of them was not in the state Alive before.
	HasRevived bool
	// HasUnknown says that the table has no rows with some of the IDs.
	HasUnknown bool
}

// MarkAliveByID records a sign of life of the members whose row IDs another host
// reports. It ignores those for whose names mayRepresent returns false, because that
// host may not report on them.
func (t *Table) MarkAliveByID(now time.Time, ids []uint32, mayRepresent func(name string) bool) MarkAliveResult {
	reported := make(map[uint32]bool, len(ids))
	for _, id := range ids {
		reported[id] = true
	}
	var result MarkAliveResult
	found := 0
	if reported[t.self.rowID()] {
		found++
	}
	for name, m := range t.members {
		if !reported[m.rowID()] {
			continue
		}
		found++
		if mayRepresent(name) {
			result.HasRevived = result.HasRevived || t.memberAt(now, m).State != Alive
			m.LastSeen = now
			result.Names = append(result.Names, name)
		}
	}
	slices.Sort(result.Names)
	result.HasUnknown = found < len(reported)
	return result
}

// rows returns the host's own row and those of members that have not failed, so that
// hosts don't send the row of a failed member to each other again and again.
func (t *Table) rows(now time.Time) []Info {
	rows := []Info{t.self}
	for _, m := range t.members {
		if t.memberAt(now, m).State != Failed {
			rows = append(rows, m.Info)
		}
	}
	return rows
}

// Scope selects the rows that another host stores; the zero value selects all.
type Scope struct {
	// FailureDomain is the other host's failure domain. It stores all members of it.
	FailureDomain string
	// MaxPerOtherDomain is how many members of each other failure domain it stores, the strongest ones.
	MaxPerOtherDomain int
}

// filterScope drops the rows outside a scope, but never the host's own.
func (t *Table) filterScope(rows []Info, scope Scope) []Info {
	if scope == (Scope{}) {
		return rows
	}
	hosts := make([]steer.Host, 0, len(rows))
	for i := range rows {
		hosts = append(hosts, rows[i].Host())
	}
	count := make(map[string]int)
	isInScope := make(map[string]bool, len(rows))
	for _, h := range steer.ByCapacity(hosts) {
		count[h.FailureDomain]++
		isInScope[h.Name] = h.Name == t.self.Name || h.FailureDomain == scope.FailureDomain || count[h.FailureDomain] <= scope.MaxPerOtherDomain
	}
	return slices.DeleteFunc(rows, func(row Info) bool { return !isInScope[row.Name] })
}

// RowCounters returns the IDs and counters of the rows in a scope, to be sent to
// another host in an exchange.
func (t *Table) RowCounters(now time.Time, scope Scope) []RowCounter {
	rows := t.filterScope(t.rows(now), scope)
	counters := make([]RowCounter, 0, len(rows))
	for i := range rows {
		counters = append(counters, RowCounter{ID: rows[i].rowID(), Counter: rows[i].Counter})
	}
	return counters
}

// MissingRows returns the rows in a scope that the other side of an exchange lacks,
// which are those without an ID among the counters that it sent.
func (t *Table) MissingRows(now time.Time, counters []RowCounter, scope Scope) []Info {
	otherHas := make(map[uint32]bool, len(counters))
	for _, c := range counters {
		otherHas[c.ID] = true
	}
	return slices.DeleteFunc(t.filterScope(t.rows(now), scope), func(row Info) bool { return otherHas[row.rowID()] })
}

// MergeCounters merges the counters of another host's table and reports whether the
// other table has rows that this one lacks.
func (t *Table) MergeCounters(now time.Time, counters []RowCounter) bool {
	byID := make(map[uint32]*Member, len(t.members))
	for _, m := range t.members {
		byID[m.rowID()] = m
	}
	own := t.self.rowID()
	hasUnknown := false
	for _, c := range counters {
		m, found := byID[c.ID]
		if found && c.Counter > m.Counter {
			m.Counter = c.Counter
			t.recordCounterRise(now, m)
		}
		hasUnknown = hasUnknown || (!found && c.ID != own)
	}
	return hasUnknown
}

const (
	// failedPartnerOneIn is n if on average one of n exchanges is with a failed member, where there is one, so that two groups of hosts find each other again after a network partition.
	failedPartnerOneIn = 8
	// anyDomainOneIn is n if on average one of n exchanges is with a member of any failure domain. The others are within the own domain, where traffic costs nothing, if it has members to choose from.
	anyDomainOneIn = 4
)

// Partner returns a random other member for the next exchange of tables, mostly one
// that has not failed and is in the own failure domain. It returns false if the table
// has no other member.
func (t *Table) Partner(now time.Time) (Member, bool) {
	others := slices.DeleteFunc(t.Members(now), func(m Member) bool { return m.Name == t.self.Name })
	picksFailed := t.rng.IntN(failedPartnerOneIn) == 0
	candidates := slices.DeleteFunc(slices.Clone(others), func(m Member) bool { return (m.State == Failed) != picksFailed })
	if t.rng.IntN(anyDomainOneIn) != 0 {
		isFar := func(m Member) bool { return m.FailureDomain != t.self.FailureDomain }
		if near := slices.DeleteFunc(slices.Clone(candidates), isFar); len(near) > 0 {
			candidates = near
		}
	}
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[t.rng.IntN(len(candidates))], true
}
