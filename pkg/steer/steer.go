package steer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host as steering sees it.
type Host struct {
	Name          string
	FailureDomain string
	// Capacity is the number of targets' slots that the host can serve; zero if it is unknown.
	Capacity int
}

// Target is a target as steering sees it.
type Target struct {
	Name          string
	FailureDomain string
}

func score(service, name string) uint64 {
	return xxhash.Sum64String(service + "\x00" + name)
}

// Ranked returns the hosts in the order of their rendezvous score for a service.
func Ranked(service string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(service, b.Name), score(service, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Holders returns up to count hosts for a service, in as many failure domains as possible; a count of zero returns all.
func Holders(service string, hosts []Host, count int) []Host {
	ranked := Ranked(service, hosts)
	if count <= 0 || count >= len(ranked) {
		return ranked
	}
	return InterleaveDomains(ranked)[:count]
}

// weakHostLoad is how many times its capacity a host serves before callers are sent to
// weaker hosts, which get as many requests as the strong ones.
const weakHostLoad = 3

// SelectSteered returns the hosts for a number of slots, at least as many as least: the
// strongest ones first and, among equals, in as many failure domains as possible.
// Weaker hosts join only where the stronger ones cannot do with all they have.
// While no slots are known, all of the strongest are returned.
func SelectSteered(hosts []Host, slots, least int) []Host {
	classes := make(map[int][]Host)
	for _, h := range Ranked("", hosts) {
		classes[h.Capacity] = append(classes[h.Capacity], h)
	}
	var sorted []Host
	for _, capacity := range slices.Backward(slices.Sorted(maps.Keys(classes))) {
		sorted = append(sorted, InterleaveDomains(classes[capacity])...)
	}
	served := 0
	for i, h := range sorted {
		isWeaker := i > 0 && h.Capacity < sorted[i-1].Capacity
		isEnough := served >= slots && slots > 0
		if i >= least && (isEnough || (isWeaker && served*weakHostLoad >= slots)) {
			return sorted[:i]
		}
		served += h.Capacity
	}
	return sorted
}

// InterleaveDomains returns the hosts reordered so that the first ones stand in as many
// failure domains as possible; otherwise the order stays.
func InterleaveDomains(hosts []Host) []Host {
	turns := make([][]Host, 0, len(hosts))
	used := make(map[string]int)
	for _, h := range hosts {
		turn := used[h.FailureDomain]
		used[h.FailureDomain]++
		if turn == len(turns) {
			turns = append(turns, nil)
		}
		turns[turn] = append(turns[turn], h)
	}
	return slices.Concat(turns...)
}

// HeldByDomain returns the targets that one of the holders holds when each failure
// domain's targets go to the holders in it, and the rest to all of them.
func HeldByDomain(service string, targets []Target, holders []Host, self string) []Target {
	place := slices.IndexFunc(holders, func(h Host) bool { return h.Name == self })
	if place < 0 {
		return nil
	}
	domain := holders[place].FailureDomain
	hasHolder := make(map[string]bool)
	for _, h := range holders {
		hasHolder[h.FailureDomain] = true
	}
	var near, rest []Target
	for _, t := range targets {
		switch {
		case t.FailureDomain == domain:
			near = append(near, t)
		case !hasHolder[t.FailureDomain]:
			rest = append(rest, t)
		}
	}
	held := Held(service, rest, holders, self)
	if HasCells(holders, domain) {
		return append(held, heldByRanges(service, near, hostsInDomain(holders, domain), self)...)
	}
	return append(held, Held(service, near, hostsInDomain(holders, domain), self)...)
}

func containsHost(hosts []Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == name })
}

// Held returns the targets that one of the holders holds. Targets are dealt to
// holders in turn, after a stable sort, so that the shares differ by one at most.
func Held(service string, targets []Target, holders []Host, self string) []Target {
	place := slices.IndexFunc(holders, func(h Host) bool { return h.Name == self })
	if place < 0 || len(holders) == 1 {
		return targets
	}
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(score(service, a.Name), score(service, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var held []Target
	for i, t := range sorted {
		if i%len(holders) == place {
			held = append(held, t)
		}
	}
	return held
}

// NearestFirst returns the hosts with those of a failure domain first.
func NearestFirst(hosts []Host, failureDomain string) []Host {
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b Host) int {
		return cmp.Compare(distance(a, failureDomain), distance(b, failureDomain))
	})
	return sorted
}

func distance(h Host, failureDomain string) int {
	if h.FailureDomain == failureDomain {
		return 0
	}
	return 1
}
