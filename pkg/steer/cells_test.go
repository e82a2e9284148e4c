package steer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// TestCellsBoundWhatAHostTells steers callers to hundreds of equal hosts: what
// each tells others every 50 ms stays as it is in a small fleet, and what crosses
// failure domains does not grow at all.
func TestCellsBoundWhatAHostTells(t *testing.T) {
	const shared = 7 // the other hosts of a cell
	crossings := make(map[int]int)
	for _, count := range []int{101, 301, 601} {
		is := is.New(t)
		alive, steered := fleet(count, 0)
		for _, h := range alive {
			fanout := steer.NewFanout(h, alive, steered)
			is.True(len(fanout.Near) <= shared)
			is.True(fanout.IsRelay || len(fanout.Rest) == 0)
			for _, other := range fanout.Far {
				if other.FailureDomain != h.FailureDomain {
					crossings[count]++
				}
			}
		}
	}
	is.New(t).Equal(crossings[101], crossings[601])
}

// TestCellsAreMutual has each host share with those that share with it.
func TestCellsAreMutual(t *testing.T) {
	is := is.New(t)
	alive, steered := fleet(301, 20)
	near := make(map[string][]steer.Host)
	for _, h := range steered {
		near[h.Name] = steer.NewFanout(h, alive, steered).Near
	}
	for _, h := range steered {
		is.True(len(near[h.Name]) > 0)
		for _, other := range near[h.Name] {
			is.Equal(other.FailureDomain, h.FailureDomain)
			is.True(slices.Contains(near[other.Name], h))
		}
	}
}

// TestLossInCellsMovesFewTargets loses one of many holders: each target stays
// with one holder, and most of them in their cell.
func TestLossInCellsMovesFewTargets(t *testing.T) {
	is := is.New(t)
	alive, steered := fleet(301, 0)
	targets := make([]steer.Target, 2999)
	for i := range targets {
		targets[i] = steer.Target{Name: fmt.Sprint("t", i), FailureDomain: fmt.Sprintf("d%d", i%5)}
	}
	before := holdersOf(is, targets, steered)
	lost := steered[150]
	remaining := withoutAll(steered, []steer.Host{lost})
	after := holdersOf(is, targets, remaining)
	known := make(map[string][]steer.Host)
	for _, h := range remaining {
		known[h.Name] = append(steer.NewFanout(h, alive, steered).Near, h)
	}
	strange := 0
	for name, holder := range after {
		if !slices.ContainsFunc(known[holder], func(h steer.Host) bool { return h.Name == before[name] }) && before[name] != lost.Name {
			strange++
		}
	}
	is.True(strange <= len(targets)/20) // those whose new holder did not hear of them before
}

// holdersOf returns who holds each target; each has one holder.
func holdersOf(is *is.I, targets []steer.Target, steered []steer.Host) map[string]string {
	holders := make(map[string]string)
	for _, h := range steered {
		for _, target := range steer.HeldByDomain("reservas", targets, steered, h.Name) {
			is.Equal(holders[target.Name], "")
			holders[target.Name] = h.Name
		}
	}
	is.Equal(len(holders), len(targets))
	return holders
}

// TestNamedReachesEveryHost tells callers of at most 64 hosts, those near them
// first: together they use all, and each is told the same again.
func TestNamedReachesEveryHost(t *testing.T) {
	is := is.New(t)
	_, steered := fleet(600, 0)
	const most = 64
	used := make(map[string]bool)
	for i := range 300 {
		caller, domain := fmt.Sprint("10.9.0.", i), fmt.Sprintf("d%d", i%5)
		named := steer.HostsForCaller(steered, caller, domain, most)
		is.Equal(len(named), most)
		is.Equal(named, steer.HostsForCaller(steered, caller, domain, most))
		for _, h := range named {
			is.Equal(h.FailureDomain, domain)
			used[h.Name] = true
		}
	}
	is.Equal(len(used), len(steered))
	is.Equal(len(steer.HostsForCaller(steered[:20], "10.9.0.1", "d1", most)), 20)
}
