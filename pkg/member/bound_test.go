package member_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// TestTableIsBounded guards against a sender of ever new rows (issue 40). Rows that are known
// are still updated.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := member.New(member.Info{Name: "self"}, member.Timing{FailAfter: time.Second, RemoveAfter: time.Minute}, 1)
	table.Merge(now, []member.Info{{Name: "entry1", Incarnation: 1, Counter: 1}})
	for i := range 20_000 {
		table.Merge(now, []member.Info{{Name: "n" + strconv.Itoa(i), Incarnation: 1}})
	}
	is.True(table.Count() <= 4097)
	table.Merge(now.Add(time.Second), []member.Info{{Name: "entry1", Incarnation: 1, Counter: 2}})
	m, found := table.Lookup(now.Add(time.Second), "entry1")
	is.True(found)
	is.Equal(m.Counter, uint64(2))
}
