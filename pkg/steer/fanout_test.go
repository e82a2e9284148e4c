package steer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// fleet returns strong and weak hosts, evenly spread over five failure domains. The strong ones are steered.
func fleet(strong, weak int) (alive, steered []steer.Host) {
	for i := range strong {
		steered = append(steered, steer.Host{Name: fmt.Sprintf("strong%03d", i), FailureDomain: fmt.Sprintf("d%d", i%5), Capacity: 112})
	}
	alive = append(alive, steered...)
	for i := range weak {
		alive = append(alive, steer.Host{Name: fmt.Sprintf("weak%03d", i), FailureDomain: fmt.Sprintf("d%d", i%5), Capacity: 22})
	}
	return alive, steered
}

// TestFanoutReachesEveryHost checks that a message from one steered host reaches all hosts within a number of hops.
func TestFanoutReachesEveryHost(t *testing.T) {
	tests := []struct {
		name         string
		strong, weak int
		// lostInDomain is how many steered hosts of the failure domain d1 are lost.
		lostInDomain int
		// fromOther says that the sender is a steered host that is not a relay.
		fromOther bool
		hops      int
	}{
		{name: "few steered hosts send to every host", strong: 8, weak: 114, hops: 1},
		{name: "many steered hosts send to the hosts of their domain", strong: 15, weak: 298, hops: 2},
		{name: "a domain without steered hosts has relays of its own", strong: 15, weak: 298, lostInDomain: 3, hops: 2},
		{name: "a thousand hosts", strong: 40, weak: 960, hops: 2},
		{name: "cells, from a relay", strong: 301, hops: 2},
		{name: "cells, from a host that is not a relay", strong: 301, fromOther: true, hops: 3},
		{name: "cells beside many weak hosts", strong: 45, weak: 255, fromOther: true, hops: 3},
		{name: "a domain without steered hosts beside cells", strong: 60, weak: 200, lostInDomain: 12, fromOther: true, hops: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			alive, steered := fleet(tt.strong, tt.weak)
			alive, steered = withoutFirstOf("d1", alive, tt.lostInDomain), withoutFirstOf("d1", steered, tt.lostInDomain)
			relays := steer.Relays(alive, steered)
			first := relays[0]
			if tt.fromOther {
				first = withoutAll(steered, relays)[0]
			}
			reached := map[string]bool{first.Name: true}
			for range tt.hops {
				reached = forward(reached, alive, steered)
			}
			is.Equal(len(reached), len(alive))
		})
	}
}

// forward returns the hosts that are reached once every relay and steered host reached so
// far has sent to its fan-out. Other hosts do not pass messages on.
func forward(reached map[string]bool, alive, steered []steer.Host) map[string]bool {
	next := maps.Clone(reached)
	for _, h := range alive {
		fanout := steer.NewFanout(h, alive, steered)
		if !reached[h.Name] || (!fanout.IsRelay && !slices.Contains(steered, h)) {
			continue
		}
		for _, other := range slices.Concat(fanout.Near, fanout.Far, fanout.Rest) {
			next[other.Name] = true
		}
	}
	return next
}

// TestTrafficBetweenDomainsGrowsWithRelays checks that the number of messages that relays
// send between failure domains does not depend on the number of weak hosts. With few
// steered hosts, all of them relays, it is about the square of their number.
func TestTrafficBetweenDomainsGrowsWithRelays(t *testing.T) {
	for _, weak := range []int{85, 298, 985} {
		is := is.New(t)
		alive, steered := fleet(15, weak)
		betweenDomains := 0
		for _, h := range alive {
			fanout := steer.NewFanout(h, alive, steered)
			if !fanout.IsRelay {
				continue
			}
			for _, other := range slices.Concat(fanout.Near, fanout.Far, fanout.Rest) {
				if other.FailureDomain != h.FailureDomain {
					betweenDomains++
				}
			}
		}
		is.Equal(betweenDomains, 15*12) // each of the 15 relays sends to the 12 in other domains
	}
}

func withoutFirstOf(domain string, hosts []steer.Host, count int) []steer.Host {
	var kept []steer.Host
	for _, h := range hosts {
		if h.FailureDomain == domain && count > 0 {
			count--
			continue
		}
		kept = append(kept, h)
	}
	return kept
}

func withoutAll(hosts, dropped []steer.Host) []steer.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h steer.Host) bool { return slices.Contains(dropped, h) })
}
