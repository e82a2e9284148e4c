package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// sight is which hosts would share the work some time after the start.
type sight struct {
	at      time.Duration
	sharing []string
}

func TestFreshHostSettles(t *testing.T) {
	const ms = time.Millisecond
	self := []string{"a"}
	few := []string{"a", "b"}
	all := []string{"x", "y", "z"}
	tests := []struct {
		name    string
		isAlone bool
		sights  []sight
		want    bool
	}{
		{name: "nobody to meet", isAlone: true, want: true},
		{name: "met nobody yet", sights: []sight{{at: 0, sharing: self}, {at: time.Second, sharing: self}}},
		{name: "met all a moment ago", sights: []sight{{at: 100 * ms, sharing: all}, {at: 300 * ms, sharing: all}}},
		{name: "met all", sights: []sight{{at: 100 * ms, sharing: all}, {at: 600 * ms, sharing: all}}, want: true},
		{name: "stronger hosts keep joining", sights: []sight{{at: 100 * ms, sharing: few}, {at: 400 * ms, sharing: all}, {at: 700 * ms, sharing: all}}},
		{name: "waited long enough", sights: []sight{{at: 3 * time.Second, sharing: self}}, want: true},
		{name: "stays settled", sights: []sight{{at: 100 * ms, sharing: few}, {at: 900 * ms, sharing: few}, {at: 950 * ms, sharing: all}}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(100, 0)
			settling := member.NewJoinPhase(start, test.isAlone)
			for _, s := range test.sights {
				settling.Update(start.Add(s.at), s.sharing)
			}
			is.Equal(settling.IsOver(), test.want)
		})
	}
}
