package steer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// TestCellsBoundTrafficPerHost guards against traffic that grows with the number of
// steered hosts. With hundreds of equal hosts, each still sends its observations every
// 50 ms to no more than seven others, and the number of messages between failure
// domains stays the same.
func TestCellsBoundTrafficPerHost(t *testing.T) {
	const otherCellHosts = 7
	betweenDomains := make(map[int]int)
	for _, count := range []int{101, 301, 601} {
		is := is.New(t)
		alive, steered := fleet(count, 0)
		for _, h := range alive {
			fanout := steer.NewFanout(h, alive, steered)
			is.True(len(fanout.Near) <= otherCellHosts)
			is.True(fanout.IsRelay || len(fanout.Rest) == 0)
			for _, other := range fanout.Far {
				if other.FailureDomain != h.FailureDomain {
					betweenDomains[count]++
				}
			}
		}
	}
	is.New(t).Equal(betweenDomains[101], betweenDomains[601])
}

// TestCellsAreSymmetric checks that each steered host sends its observations to the
// hosts that send theirs to it.
func TestCellsAreSymmetric(t *testing.T) {
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

// TestLossOfHolderMovesTargetsWithinCells checks that after the loss of one of many
// holders each target still has exactly one. Targets of the remaining holders may move
// to another host of the same cell, which has received the observations of the previous
// holder. At most 5% of all targets may move elsewhere.
func TestLossOfHolderMovesTargetsWithinCells(t *testing.T) {
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
	cells := make(map[string][]steer.Host)
	for _, h := range remaining {
		cells[h.Name] = append(steer.NewFanout(h, alive, steered).Near, h)
	}
	outsideCell := 0
	for name, holder := range after {
		if !slices.ContainsFunc(cells[holder], func(h steer.Host) bool { return h.Name == before[name] }) && before[name] != lost.Name {
			outsideCell++
		}
	}
	is.True(outsideCell <= len(targets)/20)
}

// holdersOf returns the name of the holder of each target, and checks that each has exactly one.
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

// TestHostsForCallerUsesEveryHost gives callers the addresses of at most 64 hosts each.
// They are in the caller's failure domain and the same on every call, and many
// callers together use all hosts.
func TestHostsForCallerUsesEveryHost(t *testing.T) {
	is := is.New(t)
	_, steered := fleet(600, 0)
	const maxCount = 64
	used := make(map[string]bool)
	for i := range 300 {
		caller, domain := fmt.Sprint("10.9.0.", i), fmt.Sprintf("d%d", i%5)
		forCaller := steer.HostsForCaller(steered, caller, domain, maxCount)
		is.Equal(len(forCaller), maxCount)
		is.Equal(forCaller, steer.HostsForCaller(steered, caller, domain, maxCount))
		for _, h := range forCaller {
			is.Equal(h.FailureDomain, domain)
			used[h.Name] = true
		}
	}
	is.Equal(len(used), len(steered))
	is.Equal(len(steer.HostsForCaller(steered[:20], "10.9.0.1", "d1", maxCount)), 20)
}
