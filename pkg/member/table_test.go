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

func TestViews(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name  string
		steps func(t *member.Table)
		after time.Duration
		want  member.State
	}{
		{"heard just now", func(*member.Table) {}, time.Second, member.Alive},
		{"silent", func(*member.Table) {}, 6 * time.Second, member.Failed},
		{"old row does not refresh", func(t *member.Table) {
			t.Merge(start.Add(5*time.Second), []member.Info{info("b", 1, 1)})
		}, 6 * time.Second, member.Failed},
		{"risen counter refreshes", func(t *member.Table) {
			t.Merge(start.Add(5*time.Second), []member.Info{info("b", 1, 2)})
		}, 6 * time.Second, member.Alive},
		{"refused connection fails at once", func(t *member.Table) { t.MarkUnreachable(start, "b", 1) }, 0, member.Failed},
		{"refusal of an older incarnation does not", func(t *member.Table) { t.MarkUnreachable(start, "b", 0) }, 0, member.Alive},
		{"leaving", func(t *member.Table) {
			t.Merge(start, []member.Info{{Name: "b", Incarnation: 1, Counter: 2, Leaving: true}})
		}, 0, member.Leaving},
		{"restart comes back", func(t *member.Table) {
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

func TestOwnPauseDoesNotFailOthers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	table := member.New(info("a", 1, 0), timing, 1)
	table.Tick(start)
	table.Merge(start, []member.Info{info("b", 1, 1)})
	table.Tick(start.Add(30 * time.Second)) // stopped in between
	m, _ := table.Lookup(start.Add(30*time.Second), "b")
	is.Equal(m.State, member.Alive)
	table.Tick(start.Add(31 * time.Second))
	m, _ = table.Lookup(start.Add(33*time.Second), "b")
	is.Equal(m.State, member.Failed) // it gets half the fail time, not more
}

// TestGossipSpreads measures the rounds until every table knows every member.
func TestGossipSpreads(t *testing.T) {
	is := is.New(t)
	const hosts = 19
	const roundsAtMost = 12
	now := time.Unix(100, 0)
	tables := make([]*member.Table, hosts)
	for i := range tables {
		tables[i] = member.New(info(fmt.Sprintf("h%d", i), 1, 0), timing, uint64(i))
		tables[i].Merge(now, []member.Info{info("h0", 1, 0)})
	}
	rounds := 0
	for ; rounds < roundsAtMost && !isComplete(tables, now); rounds++ {
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

// exchange sends counts one way, counts and lacking rows back, and then the rows that the other side lacks.
func exchange(table, other *member.Table, now time.Time) {
	counts := table.RowCounters(now, member.Scope{})
	rows := other.MissingRows(now, counts, member.Scope{})
	isLacking := other.MergeCounters(now, counts)
	back := other.RowCounters(now, member.Scope{})
	table.Merge(now, rows)
	table.MergeCounters(now, back)
	if isLacking {
		other.Merge(now, table.MissingRows(now, back, member.Scope{}))
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

// TestShortFormsAreSignsOfLife has a relay list members: those that are known
// count as heard, and a row that is not known is noticed.
func TestShortFormsAreSignsOfLife(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	table := member.New(info("a", 1, 0), timing, 1)
	table.Merge(start, []member.Info{info("b", 1, 1)})
	own, _ := table.RowID("a")
	known, found := table.RowID("b")
	is.True(found)
	late := start.Add(6 * time.Second)
	is.Equal(table.MarkAliveByID(late, []uint32{own, known}, everyone), member.MarkAliveResult{Names: []string{"b"}, HasRevived: true})
	is.Equal(table.MarkAliveByID(late, []uint32{own, known}, everyone), member.MarkAliveResult{Names: []string{"b"}})
	m, _ := table.Lookup(late, "b")
	is.Equal(m.State, member.Alive)
	is.True(table.MarkAliveByID(late, []uint32{known, known + 1}, everyone).HasUnknown)
	_, found = table.RowID("c")
	is.True(!found)

	later := late.Add(6 * time.Second)
	is.Equal(table.MarkAliveByID(later, []uint32{own, known}, func(string) bool { return false }), member.MarkAliveResult{}) // the sender may not speak for it
	m, _ = table.Lookup(later, "b")
	is.Equal(m.State, member.Failed)
}

func everyone(string) bool { return true }

// TestScopeBoundsWhatOtherDomainsHear has a table of many hosts tell one of
// another failure domain: all of that domain, and the strongest of each other one.
func TestScopeBoundsWhatOtherDomainsHear(t *testing.T) {
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
	told := make(map[string]int)
	strong := 0
	for _, row := range table.MissingRows(now, nil, scope) {
		told[row.FailureDomain]++
		if row.Capacity == 112 {
			strong++
		}
	}
	is.Equal(told["d1"], perDomain)
	is.Equal(told["d0"], 12+1) // and the host itself, which is new to the other one
	is.Equal(told["d4"], 12)
	is.Equal(strong, 15)
	is.Equal(len(table.RowCounters(now, scope)), len(table.MissingRows(now, nil, scope)))
	is.Equal(len(table.RowCounters(now, member.Scope{})), 5*perDomain+1)
}

// TestPartnersAreMostlyNear counts with whom a host exchanges its table.
func TestPartnersAreMostlyNear(t *testing.T) {
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
	is.True(near < exchanges*9/10) // the other domains are not left to themselves
}

// TestSilencedMemberIsNotRevivedByOldCounters fails a member whose last counters
// still travel through other tables; a restart or a sign of life revives it at once.
func TestSilencedMemberIsNotRevivedByOldCounters(t *testing.T) {
	start := time.Unix(100, 0)
	counted := func(table *member.Table, counter uint64) []member.RowCounter {
		id, _ := table.RowID("b")
		return []member.RowCounter{{ID: id, Counter: counter}}
	}
	tests := []struct {
		name   string
		revive func(table *member.Table, now time.Time)
		want   member.State
	}{
		{name: "a late counter", revive: func(table *member.Table, now time.Time) { table.MergeCounters(now, counted(table, 7)) }, want: member.Failed},
		{name: "a late row", revive: func(table *member.Table, now time.Time) { table.Merge(now, []member.Info{info("b", 1, 8)}) }, want: member.Failed},
		{name: "a restart", revive: func(table *member.Table, now time.Time) { table.Merge(now, []member.Info{info("b", 2, 1)}) }, want: member.Alive},
		{name: "a beacon", revive: func(table *member.Table, now time.Time) { table.MarkAlive(now, "b", 1) }, want: member.Alive},
		{name: "counters that go on rising", revive: func(table *member.Table, now time.Time) {
			table.MergeCounters(now.Add(timing.FailAfter/2), counted(table, 9))
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
