package member_test

import (
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// fleetRows returns a number of members in one state.
func fleetRows(domain string, state member.State, count int) []member.Member {
	rows := make([]member.Member, count)
	for i := range rows {
		rows[i] = member.Member{Info: member.Info{FailureDomain: domain}, State: state}
	}
	return rows
}

func TestFleetSize(t *testing.T) {
	tests := []struct {
		name         string
		rows         [][]member.Member
		known, alive int
	}{
		{name: "only this host", rows: [][]member.Member{fleetRows("a", member.Alive, 1)}, known: 1, alive: 1},
		{name: "complete table", rows: [][]member.Member{fleetRows("a", member.Alive, 5), fleetRows("b", member.Alive, 5), fleetRows("b", member.Failed, 1)}, known: 11, alive: 10},
		{name: "leaving hosts", rows: [][]member.Member{fleetRows("a", member.Alive, 5), fleetRows("a", member.Leaving, 2)}, known: 5, alive: 5},
		{name: "strongest of another domain", rows: [][]member.Member{fleetRows("a", member.Alive, 60), fleetRows("b", member.Alive, 12)}, known: 120, alive: 120},
		{name: "other domain cut off", rows: [][]member.Member{fleetRows("a", member.Alive, 60), fleetRows("b", member.Failed, 12)}, known: 120, alive: 60},
		{name: "other domain partly cut off", rows: [][]member.Member{fleetRows("a", member.Alive, 60), fleetRows("b", member.Failed, 6), fleetRows("b", member.Alive, 6)}, known: 120, alive: 90},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var members []member.Member
			for _, rows := range test.rows {
				members = append(members, rows...)
			}
			known, alive := member.FleetSize(members, "a", 12)
			is.Equal(known, test.known)
			is.Equal(alive, test.alive)
		})
	}
}
