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

// State is what a table believes of a member.
type State int

const (
	// Alive members have raised their counter recently.
	Alive State = iota
	// Leaving members said that they stop.
	Leaving
	// Failed members have not been heard of for the fail time.
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

// Info is what a member says of itself.
type Info struct {
	Name          string
	Incarnation   uint64
	Counter       uint64
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	BeaconAddress string
	// Capacity is the number of targets' slots that the host can serve; zero if it does not say.
	Capacity int
	Leaving  bool
}

// Host returns the member as steering sees it.
func (i *Info) Host() steer.Host {
	return steer.Host{Name: i.Name, FailureDomain: i.FailureDomain, Capacity: i.Capacity}
}

// newerThan reports whether i supersedes other; a restarted member has a larger incarnation.
func (i *Info) newerThan(other *Info) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.Counter > other.Counter
}

// Member is an Info with the table's belief.
type Member struct {
	Info
	State State
	// LastSeen is when the table last saw the counter rise.
	LastSeen time.Time
	// silentSince is when the member last stopped to say that it lives.
	silentSince time.Time
}

// Timing holds the periods of a table.
type Timing struct {
	// FailAfter is how long a silent member stays alive in the view.
	FailAfter time.Duration
	// RemoveAfter is how long a failed or leaving member stays in the table.
	RemoveAfter time.Duration
}

// Table is one host's view of all members; it is not safe for concurrent use.
type Table struct {
	self    Info
	timing  Timing
	members map[string]*Member
	rng     *rand.Rand
	lastTick    time.Time
}

// New returns a table that holds only self.
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

// Leave marks the host itself as leaving.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.self.Counter++
}

// Tick raises the own counter and forgets old members.
func (t *Table) Tick(now time.Time) {
	t.self.Counter++
	t.compensatePause(now)
	for name, m := range t.members {
		if now.Sub(m.LastSeen) > t.timing.RemoveAfter {
			delete(t.members, name)
		}
	}
}

// compensatePause restarts the fail timers after a pause of this host: the
// silence of others while it was stopped says nothing about them.
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

// Merge takes the rows of another host's table.
func (t *Table) Merge(now time.Time, rows []Info) {
	for i := range rows {
		t.mergeRow(now, &rows[i])
	}
}

func (t *Table) mergeRow(now time.Time, row *Info) {
	if row.Name == t.self.Name || row.Name == "" {
		return
	}
	known, found := t.members[row.Name]
	if !found {
		t.members[row.Name] = &Member{Info: *row, LastSeen: now}
		return
	}
	if !row.newerThan(&known.Info) {
		return
	}
	isRestarted := row.Incarnation != known.Incarnation
	known.Info = *row
	if isRestarted {
		known.silentSince = time.Time{}
	}
	t.recordCounterRise(now, known)
}

// staleCounterDivisor is the part of the fail time for which counters do not revive a member that was silenced; they travel through all tables in less.
const staleCounterDivisor = 2

// recordCounterRise takes a risen counter as a sign of life, unless the member went silent
// when it may already have been told.
func (t *Table) recordCounterRise(now time.Time, m *Member) {
	if m.silentSince.IsZero() || now.Sub(m.silentSince) >= t.timing.FailAfter/staleCounterDivisor {
		m.LastSeen = now
	}
}

// MarkAlive records a sign of life of a member's incarnation from elsewhere than an exchange.
func (t *Table) MarkAlive(now time.Time, name string, incarnation uint64) {
	m, found := t.members[name]
	if found && m.Incarnation == incarnation {
		m.LastSeen = now
	}
}

// Scaled returns the periods stretched by a factor, for a table with many members.
func (t Timing) Scaled(factor float64) Timing {
	t.FailAfter = time.Duration(float64(t.FailAfter) * factor)
	t.RemoveAfter = time.Duration(float64(t.RemoveAfter) * factor)
	return t
}

// SetTiming changes the periods.
func (t *Table) SetTiming(timing Timing) {
	t.timing = timing
}

// MarkUnreachable records that a member's address refused a connection, which fails it at once until it is heard of again.
func (t *Table) MarkUnreachable(now time.Time, name string, incarnation uint64) {
	if m, found := t.members[name]; found && m.Incarnation == incarnation {
		m.LastSeen = now.Add(-t.timing.FailAfter - time.Nanosecond)
	}
}

// MarkSilent records that a member which used to say often that it lives has
// stopped, which fails it at once. Counters that are still on their way through
// other tables say nothing about that for a time.
func (t *Table) MarkSilent(now time.Time, name string, incarnation uint64) {
	t.MarkUnreachable(now, name, incarnation)
	if m, found := t.members[name]; found && m.Incarnation == incarnation {
		m.silentSince = now
	}
}

// Lookup returns the view of one member.
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
	seen := *m
	switch {
	case now.Sub(m.LastSeen) > t.timing.FailAfter:
		seen.State = Failed
	case m.Leaving:
		seen.State = Leaving
	default:
		seen.State = Alive
	}
	return seen
}

// Members returns the view of every member, self included, by name.
func (t *Table) Members(now time.Time) []Member {
	all := make([]Member, 0, len(t.members)+1)
	all = append(all, t.selfMember(now))
	for _, m := range t.members {
		all = append(all, t.memberAt(now, m))
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Alive returns the members that are alive and not leaving, self included, by name.
func (t *Table) Alive(now time.Time) []Member {
	return slices.DeleteFunc(t.Members(now), func(m Member) bool { return m.State != Alive })
}

// RowCounter is a row in short form: who, and how far its counter has risen.
type RowCounter struct {
	// ID is a hash of everything in the row that rarely changes.
	ID      uint32
	Counter uint64
}

// rowID hashes the name, the incarnation and whether the member leaves. Two rows
// with the same ID would share their counters, which costs speed only.
func (i *Info) rowID() uint32 {
	text := append([]byte(i.Name), ' ')
	text = strconv.AppendUint(text, i.Incarnation, 10)
	text = strconv.AppendBool(append(text, ' '), i.Leaving)
	return uint32(xxhash.Sum64(text))
}

// RowID returns the short form of a member's row, and false if there is no such member.
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

// RowIDResult is what short forms of rows told a table.
type RowIDResult struct {
	// Alive are the members that were heard.
	Alive []string
	// HasRevived says that one of them had failed.
	HasRevived bool
	// HasUnknown says that some short forms are of rows that the table lacks.
	HasUnknown bool
}

// MarkAliveByID records signs of life by short forms, of the members for which the sender may speak.
func (t *Table) MarkAliveByID(now time.Time, ids []uint32, speaksFor func(name string) bool) RowIDResult {
	wanted := make(map[uint32]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	var news RowIDResult
	found := 0
	if wanted[t.self.rowID()] {
		found++
	}
	for name, m := range t.members {
		if !wanted[m.rowID()] {
			continue
		}
		found++
		if speaksFor(name) {
			news.HasRevived = news.HasRevived || t.memberAt(now, m).State != Alive
			m.LastSeen = now
			news.Alive = append(news.Alive, name)
		}
	}
	slices.Sort(news.Alive)
	news.HasUnknown = found < len(wanted)
	return news
}

// rows returns self and every member that has not failed, so that a dead
// member's row cannot travel in circles.
func (t *Table) rows(now time.Time) []Info {
	rows := []Info{t.self}
	for _, m := range t.members {
		if t.memberAt(now, m).State != Failed {
			rows = append(rows, m.Info)
		}
	}
	return rows
}

// Scope says which rows another host needs; the zero value means all.
type Scope struct {
	// FailureDomain is the other host's, all of whose members it knows.
	FailureDomain string
	// MaxPerOtherDomain is how many members of each other failure domain it knows.
	MaxPerOtherDomain int
}

// filterScope drops the rows that are out of a scope, but never self.
func (t *Table) filterScope(rows []Info, scope Scope) []Info {
	if scope == (Scope{}) {
		return rows
	}
	hosts := make([]steer.Host, 0, len(rows))
	for i := range rows {
		hosts = append(hosts, rows[i].Host())
	}
	told := make(map[string]int)
	isTold := make(map[string]bool, len(rows))
	for _, h := range steer.ByCapacity(hosts) {
		told[h.FailureDomain]++
		isTold[h.Name] = h.Name == t.self.Name || h.FailureDomain == scope.FailureDomain || told[h.FailureDomain] <= scope.MaxPerOtherDomain
	}
	return slices.DeleteFunc(rows, func(row Info) bool { return !isTold[row.Name] })
}

// RowCounters returns the rows in a scope in short form, for an exchange.
func (t *Table) RowCounters(now time.Time, scope Scope) []RowCounter {
	rows := t.filterScope(t.rows(now), scope)
	counts := make([]RowCounter, 0, len(rows))
	for i := range rows {
		counts = append(counts, RowCounter{ID: rows[i].rowID(), Counter: rows[i].Counter})
	}
	return counts
}

// MissingRows returns the whole rows in a scope that the other side of an exchange
// lacks, by the counts that it sent.
func (t *Table) MissingRows(now time.Time, counts []RowCounter, scope Scope) []Info {
	known := make(map[uint32]bool, len(counts))
	for _, c := range counts {
		known[c.ID] = true
	}
	return slices.DeleteFunc(t.filterScope(t.rows(now), scope), func(row Info) bool { return known[row.rowID()] })
}

// MergeCounters takes the counts of another host's table and reports whether it
// knows rows that this table lacks.
func (t *Table) MergeCounters(now time.Time, counts []RowCounter) bool {
	byID := make(map[uint32]*Member, len(t.members))
	for _, m := range t.members {
		byID[m.rowID()] = m
	}
	own := t.self.rowID()
	isLacking := false
	for _, c := range counts {
		m, found := byID[c.ID]
		if found && c.Counter > m.Counter {
			m.Counter = c.Counter
			t.recordCounterRise(now, m)
		}
		isLacking = isLacking || (!found && c.ID != own)
	}
	return isLacking
}

const (
	// failedPartnerOneIn is how many exchanges there are for one with a failed member, so that two halves of a healed cut meet again.
	failedPartnerOneIn = 8
	// anyDomainOneIn is how many exchanges there are for one with a member of any failure domain; the others stay within the own one, where bytes cost nothing.
	anyDomainOneIn = 4
)

// Partner returns a random other member to exchange tables with.
func (t *Table) Partner(now time.Time) (Member, bool) {
	others := slices.DeleteFunc(t.Members(now), func(m Member) bool { return m.Name == t.self.Name })
	wantFailed := t.rng.IntN(failedPartnerOneIn) == 0
	picked := slices.DeleteFunc(slices.Clone(others), func(m Member) bool { return (m.State == Failed) != wantFailed })
	if t.rng.IntN(anyDomainOneIn) != 0 {
		isFar := func(m Member) bool { return m.FailureDomain != t.self.FailureDomain }
		if near := slices.DeleteFunc(slices.Clone(picked), isFar); len(near) > 0 {
			picked = near
		}
	}
	if len(picked) == 0 {
		picked = others
	}
	if len(picked) == 0 {
		return Member{}, false
	}
	return picked[t.rng.IntN(len(picked))], true
}
