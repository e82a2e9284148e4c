package event_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	ring := event.NewRing("a", 1, 3, func() time.Time { return time.Unix(0, 0) })
	for i := range 5 {
		ring.Add(event.Event{Kind: fmt.Sprint("K", i)})
	}
	kept := ring.Events(event.Filter{})
	is.Equal(len(kept), 3)
	is.Equal(kept[0].Kind, "K2")
	is.Equal(kept[2].Kind, "K4")
}

// TestRingBoundsTexts guards against events that keep what a caller or a target has sent
// (issue 29, report of another operator).
func TestRingBoundsTexts(t *testing.T) {
	is := is.New(t)
	ring := event.NewRing("a", 1, 3, func() time.Time { return time.Unix(0, 0) })
	long := strings.Repeat("é", 30<<10)
	ring.Add(event.Event{Kind: "K", Service: long, Target: long, Request: long, Cause: long})
	ring.Add(event.Event{Kind: "K", Cause: "short"})
	kept := ring.Events(event.Filter{})
	for _, text := range []string{kept[0].Service, kept[0].Target, kept[0].Request, kept[0].Cause} {
		is.True(len(text) < 1<<10)
		is.True(utf8.ValidString(text))
		is.True(strings.HasPrefix(text, "éé"))
	}
	is.Equal(kept[1].Cause, "short")
}

// TestMergeCorrectsClocks guards against an event that is shown before its cause because
// the clock of its host is behind.
func TestMergeCorrectsClocks(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	cause := event.Event{Host: "a", Kind: "RequestForwarded", Time: at}
	effect := event.Event{Host: "b", Kind: "AttemptSent", Time: at.Add(-time.Second)}
	merged := event.Merge([]event.HostEvents{
		{Events: []event.Event{cause}},
		{Events: []event.Event{effect}, ClockLead: -2 * time.Second},
	})
	is.Equal(merged[0].Kind, "RequestForwarded")
	is.Equal(merged[1].Kind, "AttemptSent")
}
