package steer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host describes an entry host, as far as the division depends on it.
type Host struct {
	Name          string
	FailureDomain string
	// Capacity is the number of slots, summed over targets, that the host can keep busy; zero if it is unknown.
	Capacity int
}

// Target describes a target of a service, as far as the division depends on it.
type Target struct {
	Name          string
	FailureDomain string
}

// score returns the rendezvous score of a host or target for a key, as in Ranked.
func score(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// Ranked returns the hosts sorted by their rendezvous score for a key, the highest
// first. The key is a service or a caller, or empty for an order that does not depend on either.
func Ranked(key string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(key, b.Name), score(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// Holders selects as many holders of a service as count says, in as many failure domains
// as possible. It returns all hosts if there are no more than count, or if count is zero.
func Holders(service string, hosts []Host, count int) []Host {
	ranked := Ranked(service, hosts)
	if count <= 0 || count >= len(ranked) {
		return ranked
	}
	return InterleaveDomains(ranked)[:count]
}

// maxStrongOverload is the ratio of targets' slots to the capacity of the stronger
// hosts up to which callers are not directed to weaker ones. A weak steered host would
// get as many requests as a strong one.
const maxStrongOverload = 3

// SelectSteered returns the steered hosts for targets with a total number of slots.
// It selects the strongest first, in as many failure domains as possible among hosts
// of equal capacity, until there are minCount and their capacity reaches slots. Once
// there are minCount, it adds no hosts that are weaker than the ones before if slots
// is at most three times the capacity so far. While slots is zero, because no targets
// are known, hosts of equal capacity are selected together until there are at least minCount.
func SelectSteered(hosts []Host, slots, minCount int) []Host {
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
		if i >= minCount && (isEnough || (isWeaker && served*maxStrongOverload >= slots)) {
			return sorted[:i]
		}
		served += h.Capacity
	}
	return sorted
}

// InterleaveDomains reorders the hosts so that the first ones are in as many
// failure domains as possible. Hosts of one domain stay in their order.
func InterleaveDomains(hosts []Host) []Host {
	rounds := make([][]Host, 0, len(hosts))
	used := make(map[string]int)
	for _, h := range hosts {
		round := used[h.FailureDomain]
		used[h.FailureDomain]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], h)
	}
	return slices.Concat(rounds...)
}

// HeldByDomain returns the targets that the holder named self holds if targets are
// divided among the holders in their own failure domain. Targets of a domain without
// holders are divided among all holders. It returns nil if self is not a holder.
func HeldByDomain(service string, targets []Target, holders []Host, self string) []Target {
	position := slices.IndexFunc(holders, func(h Host) bool { return h.Name == self })
	if position < 0 {
		return nil
	}
	domain := holders[position].FailureDomain
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

// Held returns the targets that the holder named self holds if targets of all failure
// domains are divided among all holders. The targets are sorted and assigned to the
// holders by round robin, so that the numbers held differ by one at most. It returns
// all targets if self is not a holder.
func Held(service string, targets []Target, holders []Host, self string) []Target {
	position := slices.IndexFunc(holders, func(h Host) bool { return h.Name == self })
	if position < 0 || len(holders) == 1 {
		return targets
	}
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(score(service, a.Name), score(service, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var held []Target
	for i, t := range sorted {
		if i%len(holders) == position {
			held = append(held, t)
		}
	}
	return held
}

// NearestFirst returns the hosts with those of a failure domain first, and otherwise in the given order.
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
