package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// update is a call of JoinPhase.Update, with its time since the start of the host.
type update struct {
	at      time.Duration
	steered []string
}

func TestJoinPhase(t *testing.T) {
	const ms = time.Millisecond
	self := []string{"a"}
	few := []string{"a", "b"}
	all := []string{"x", "y", "z"}
	tests := []struct {
		name      string
		isSkipped bool
		updates   []update
		isOver    bool
	}{
		{name: "no others to wait for", isSkipped: true, isOver: true},
		{name: "found no others yet", updates: []update{{at: 0, steered: self}, {at: time.Second, steered: self}}},
		{name: "found the others 200 ms ago", updates: []update{{at: 100 * ms, steered: all}, {at: 300 * ms, steered: all}}},
		{name: "found the others 500 ms ago", updates: []update{{at: 100 * ms, steered: all}, {at: 600 * ms, steered: all}}, isOver: true},
		{name: "steered hosts changed 300 ms ago", updates: []update{{at: 100 * ms, steered: few}, {at: 400 * ms, steered: all}, {at: 700 * ms, steered: all}}},
		{name: "found no others in the maximum time", updates: []update{{at: 3 * time.Second, steered: self}}, isOver: true},
		{name: "stays over when the steered hosts change", updates: []update{{at: 100 * ms, steered: few}, {at: 900 * ms, steered: few}, {at: 950 * ms, steered: all}}, isOver: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(100, 0)
			phase := member.NewJoinPhase(start, test.isSkipped)
			for _, u := range test.updates {
				phase.Update(start.Add(u.at), u.steered)
			}
			is.Equal(phase.IsOver(), test.isOver)
		})
	}
}
