package steer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// hosts returns a number of hosts in three failure domains, without capacities.
func hosts(count int) []steer.Host {
	all := make([]steer.Host, count)
	for i := range all {
		all[i] = steer.Host{Name: fmt.Sprintf("entry%d", i), FailureDomain: fmt.Sprintf("d%d", i%3)}
	}
	return all
}

// TestLossOfOneHostMovesOnlyItsServices checks, for services with one holder each, that
// the loss of a host changes the holders only of the services that it held.
func TestLossOfOneHostMovesOnlyItsServices(t *testing.T) {
	is := is.New(t)
	const services = 130
	all := hosts(19)
	moved, lost := 0, 0
	for i := range services {
		name := fmt.Sprintf("service%d", i)
		before := steer.Holders(name, all, 1)[0]
		after := steer.Holders(name, all[1:], 1)[0]
		if before.Name == all[0].Name {
			lost++
		}
		if before != after {
			moved++
		}
	}
	is.Equal(moved, lost)
	is.True(moved <= 3*services/19) // a hash spreads the services unevenly, but the lost host may have held at most three times the mean
}

func TestHoldersAreInDifferentDomains(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		holders := steer.Holders(fmt.Sprint(i), hosts(13), 3)
		is.Equal(len(holders), 3)
		is.True(holders[0].FailureDomain != holders[1].FailureDomain)
		is.True(holders[1].FailureDomain != holders[2].FailureDomain)
		is.True(holders[0].FailureDomain != holders[2].FailureDomain)
	}
}

func TestHeldAssignsEveryTargetOnce(t *testing.T) {
	is := is.New(t)
	targets := make([]steer.Target, 15)
	for i := range targets {
		targets[i] = steer.Target{Name: fmt.Sprintf("t%d", i), FailureDomain: fmt.Sprintf("d%d", i%3)}
	}
	holders := steer.Holders("reservas", hosts(13), 2)
	seen := make(map[string]int)
	for _, h := range holders {
		held := steer.Held("reservas", targets, holders, h.Name)
		is.True(len(held) == 7 || len(held) == 8)
		for _, target := range held {
			seen[target.Name]++
		}
	}
	is.Equal(len(seen), len(targets))
}

func TestHeldByDomainStaysInFailureDomain(t *testing.T) {
	tests := []struct {
		name    string
		holders []steer.Host
		// far is how many targets are held by a host of another failure domain.
		far int
	}{
		{name: "one holder in each domain", holders: hosts(3)},
		{name: "two holders in some domains", holders: hosts(5)},
		{name: "no holder in one domain", holders: hosts(2), far: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			targets := make([]steer.Target, 15)
			for i := range targets {
				targets[i] = steer.Target{Name: fmt.Sprintf("t%d", i), FailureDomain: fmt.Sprintf("d%d", i%3)}
			}
			seen := make(map[string]int)
			far := 0
			for _, h := range test.holders {
				for _, target := range steer.HeldByDomain("reservas", targets, test.holders, h.Name) {
					seen[target.Name]++
					if target.FailureDomain != h.FailureDomain {
						far++
					}
				}
			}
			is.Equal(len(seen), len(targets))
			for _, times := range seen {
				is.Equal(times, 1)
			}
			is.Equal(far, test.far)
		})
	}
}

func TestSelectSteeredPrefersStrongHosts(t *testing.T) {
	uneven := []steer.Host{
		{Name: "a1", FailureDomain: "a", Capacity: 50},
		{Name: "a2", FailureDomain: "a", Capacity: 200},
		{Name: "b1", FailureDomain: "b", Capacity: 200},
		{Name: "b2", FailureDomain: "b", Capacity: 50},
		{Name: "c1", FailureDomain: "c", Capacity: 200},
		{Name: "c2", FailureDomain: "c", Capacity: 200},
	}
	tests := []struct {
		name            string
		slots, minCount int
		wantCount       int
		// wantWeakest is the capacity of the weakest of the selected hosts.
		wantWeakest int
	}{
		{name: "minimum count", slots: 10, minCount: 3, wantCount: 3, wantWeakest: 200},
		{name: "more slots", slots: 700, minCount: 3, wantCount: 4, wantWeakest: 200},
		{name: "strong hosts are loaded beyond their capacity before weak ones are used", slots: 2000, minCount: 3, wantCount: 4, wantWeakest: 200},
		{name: "more than all can serve", slots: 9000, minCount: 3, wantCount: 6, wantWeakest: 50},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			selected := steer.SelectSteered(uneven, test.slots, test.minCount)
			is.Equal(len(selected), test.wantCount)
			is.Equal(selected[len(selected)-1].Capacity, test.wantWeakest)
			domains := make(map[string]bool)
			for _, h := range selected[:3] {
				domains[h.FailureDomain] = true
			}
			is.Equal(len(domains), 3)
		})
	}
}

// TestSelectSteeredWithoutTargets covers the start of a fleet before any target has
// registered, when all of the strongest hosts are steered hosts.
func TestSelectSteeredWithoutTargets(t *testing.T) {
	is := is.New(t)
	alive, steered := fleet(15, 298)
	is.Equal(len(steer.SelectSteered(alive, 0, 3)), len(steered))
	is.Equal(len(steer.SelectSteered(alive, 1, 3)), 3)
}
