package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

var timing = member.Timing{FailAfter: 5 * time.Second, RemoveAfter: time.Minute}

func info(name string, incarnation, counter uint64) member.Info {
	return member.Info{Name: name, Incarnation: incarnation, Counter: counter}
}

func TestStateOfMember(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name  string
		steps func(t *member.Table)
		after time.Duration
		want  member.State
	}{
		{"counter received just now", func(*member.Table) {}, time.Second, member.Alive},
		{"no sign of life", func(*member.Table) {}, 6 * time.Second, member.Failed},
		{"unchanged counter is no sign of life", func(t *member.Table) {
			t.Merge(start.Add(5*time.Second), []member.Info{info("b", 1, 1)})
		}, 6 * time.Second, member.Failed},
		{"risen counter is a sign of life", func(t *member.Table) {
			t.Merge(start.Add(5*time.Second), []member.Info{info("b", 1, 2)})
		}, 6 * time.Second, member.Alive},
		{"refused connection marks the member as failed at once", func(t *member.Table) { t.MarkUnreachable(start, "b", 1) }, 0, member.Failed},
		{"refused connection of an older incarnation does not", func(t *member.Table) { t.MarkUnreachable(start, "b", 0) }, 0, member.Alive},
		{"leaving", func(t *member.Table) {
			t.Merge(start, []member.Info{{Name: "b", Incarnation: 1, Counter: 2, Leaving: true}})
		}, 0, member.Leaving},
		{"restarted member is alive", func(t *member.Table) {
			t.MarkUnreachable(start, "b", 1)
			t.Merge(start, []member.Info{info("b", 2, 0)})
		}, 0, member.Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := member.New(info("a", 1, 0), timing, 1)
			table.Merge(start, []member.Info{info("b", 1, 1)})
			tt.steps(table)
			m, found := table.Lookup(start.Add(tt.after), "b")
			is.True(found)
			is.Equal(m.State, tt.want)
		})
	}
}

// TestOwnPauseDoesNotFailOthers guards against a host that marks all others as failed
// because its own process was stopped for a while and received nothing.
func TestOwnPauseDoesNotFailOthers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	table := member.New(info("a", 1, 0), timing, 1)
	table.Tick(start)
	table.Merge(start, []member.Info{info("b", 1, 1)})
	table.Tick(start.Add(30 * time.Second)) // the host was stopped in between
	m, _ := table.Lookup(start.Add(30*time.Second), "b")
	is.Equal(m.State, member.Alive)
	table.Tick(start.Add(31 * time.Second))
	m, _ = table.Lookup(start.Add(33*time.Second), "b")
	is.Equal(m.State, member.Failed) // after the pause, members have half of FailAfter to show a sign of life
}

// TestGossipReachesAllTables bounds the rounds of exchanges until every table has every member.
func TestGossipReachesAllTables(t *testing.T) {
	is := is.New(t)
	const hosts = 19
	const maxRounds = 12
	now := time.Unix(100, 0)
	tables := make([]*member.Table, hosts)
	for i := range tables {
		tables[i] = member.New(info(fmt.Sprintf("h%d", i), 1, 0), timing, uint64(i))
		tables[i].Merge(now, []member.Info{info("h0", 1, 0)})
	}
	rounds := 0
	for ; rounds < maxRounds && !isComplete(tables, now); rounds++ {
		for _, table := range tables {
			table.Tick(now)
			partner, _ := table.Partner(now)
			for _, other := range tables {
				if other.Self().Name == partner.Name {
					exchange(table, other, now)
				}
			}
		}
	}
	is.True(isComplete(tables, now))
}

// exchange sends the counters of table to other, receives other's counters and the rows
// that table lacks, and then sends the rows that other lacks.
func exchange(table, other *member.Table, now time.Time) {
	counters := table.RowCounters(now, member.Scope{})
	rows := other.MissingRows(now, counters, member.Scope{})
	hasUnknown := other.MergeCounters(now, counters)
	replied := other.RowCounters(now, member.Scope{})
	table.Merge(now, rows)
	table.MergeCounters(now, replied)
	if hasUnknown {
		other.Merge(now, table.MissingRows(now, replied, member.Scope{}))
	}
}

func isComplete(tables []*member.Table, now time.Time) bool {
	for _, table := range tables {
		if len(table.Alive(now)) != len(tables) {
			return false
		}
	}
	return true
}

// TestReportedRowIDsAreSignsOfLife checks the handling of the row IDs that a relay
// reports. The members with these rows are marked as alive, and HasUnknown reports an unknown ID.
func TestReportedRowIDsAreSignsOfLife(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	table := member.New(info("a", 1, 0), timing, 1)
	table.Merge(start, []member.Info{info("b", 1, 1)})
	own, _ := table.RowID("a")
	reported, found := table.RowID("b")
	is.True(found)
	late := start.Add(6 * time.Second)
	is.Equal(table.MarkAliveByID(late, []uint32{own, reported}, anyMember), member.MarkAliveResult{Names: []string{"b"}, HasRevived: true})
	is.Equal(table.MarkAliveByID(late, []uint32{own, reported}, anyMember), member.MarkAliveResult{Names: []string{"b"}})
	m, _ := table.Lookup(late, "b")
	is.Equal(m.State, member.Alive)
	is.True(table.MarkAliveByID(late, []uint32{reported, reported + 1}, anyMember).HasUnknown)
	_, found = table.RowID("c")
	is.True(!found)

	later := late.Add(6 * time.Second)
	is.Equal(table.MarkAliveByID(later, []uint32{own, reported}, func(string) bool { return false }), member.MarkAliveResult{}) // the sender may not report on it
	m, _ = table.Lookup(later, "b")
	is.Equal(m.State, member.Failed)
}

func anyMember(string) bool { return true }

// TestScopeBoundsRowsOfOtherDomains has a host with a large table send its rows to a
// host of another failure domain. It must send those of all members of that domain, but
// only those of the strongest members of each other one.
func TestScopeBoundsRowsOfOtherDomains(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	self := member.Info{Name: "self", Incarnation: 1, FailureDomain: "d0", Capacity: 1}
	table := member.New(self, timing, 1)
	const perDomain = 60
	for i := range 5 * perDomain {
		capacity := 22
		if i < 15 {
			capacity = 112
		}
		table.Merge(now, []member.Info{{Name: fmt.Sprintf("h%03d", i), Incarnation: 1, FailureDomain: fmt.Sprintf("d%d", i%5), Capacity: capacity}})
	}
	scope := member.Scope{FailureDomain: "d1", MaxPerOtherDomain: 12}
	sent := make(map[string]int)
	strong := 0
	for _, row := range table.MissingRows(now, nil, scope) {
		sent[row.FailureDomain]++
		if row.Capacity == 112 {
			strong++
		}
	}
	is.Equal(sent["d1"], perDomain)
	is.Equal(sent["d0"], 12+1) // the twelve strongest and the sender itself, whose row the other host may lack
	is.Equal(sent["d4"], 12)
	is.Equal(strong, 15)
	is.Equal(len(table.RowCounters(now, scope)), len(table.MissingRows(now, nil, scope)))
	is.Equal(len(table.RowCounters(now, member.Scope{})), 5*perDomain+1)
}

// TestPartnersAreMostlyInSameDomain bounds the share of exchanges within the failure
// domain, where traffic costs nothing, from both sides.
func TestPartnersAreMostlyInSameDomain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := member.New(member.Info{Name: "self", Incarnation: 1, FailureDomain: "d0"}, timing, 1)
	for i := range 100 {
		table.Merge(now, []member.Info{{Name: fmt.Sprintf("h%03d", i), Incarnation: 1, FailureDomain: fmt.Sprintf("d%d", i%5)}})
	}
	const exchanges = 1000
	near := 0
	for range exchanges {
		partner, found := table.Partner(now)
		is.True(found)
		if partner.FailureDomain == "d0" {
			near++
		}
	}
	is.True(near > exchanges*2/3)
	is.True(near < exchanges*9/10) // members of other domains must be partners too
}

// TestSilentMemberIsNotRevivedByOldCounters marks a member as silent while its last
// counters are still being passed on from table to table. These must not revive it, but
// a restart or a beacon must, at once.
func TestSilentMemberIsNotRevivedByOldCounters(t *testing.T) {
	start := time.Unix(100, 0)
	withCounter := func(table *member.Table, counter uint64) []member.RowCounter {
		id, _ := table.RowID("b")
		return []member.RowCounter{{ID: id, Counter: counter}}
	}
	tests := []struct {
		name   string
		revive func(table *member.Table, now time.Time)
		want   member.State
	}{
		{name: "a late counter", revive: func(table *member.Table, now time.Time) { table.MergeCounters(now, withCounter(table, 7)) }, want: member.Failed},
		{name: "a late row", revive: func(table *member.Table, now time.Time) { table.Merge(now, []member.Info{info("b", 1, 8)}) }, want: member.Failed},
		{name: "a restart", revive: func(table *member.Table, now time.Time) { table.Merge(now, []member.Info{info("b", 2, 1)}) }, want: member.Alive},
		{name: "a beacon", revive: func(table *member.Table, now time.Time) { table.MarkAlive(now, "b", 1) }, want: member.Alive},
		{name: "a counter that rises later", revive: func(table *member.Table, now time.Time) {
			table.MergeCounters(now.Add(timing.FailAfter/2), withCounter(table, 9))
		}, want: member.Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := member.New(info("a", 1, 0), timing, 1)
			table.Merge(start, []member.Info{info("b", 1, 1)})
			table.MarkSilent(start, "b", 1)
			now := start.Add(timing.FailAfter / 10)
			tt.revive(table, now)
			m, _ := table.Lookup(now.Add(timing.FailAfter/2), "b")
			is.Equal(m.State, tt.want)
		})
	}
}
