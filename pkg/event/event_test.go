package event_test

import (
	"fmt"
	"testing"
	"time"

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
