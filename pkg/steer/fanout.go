package steer

import (
	"cmp"
	"slices"
)

const (
	// maxFullMeshSteered is the number of steered hosts up to which each sends to all hosts directly; the traffic grows with its square, and 56 pairs send about half a MB a second.
	maxFullMeshSteered = 8
	// minRelays is the least number of relays of a failure domain; one of them may fail without being noticed for a second.
	minRelays = 2
)

// Fanout lists the hosts to which a host sends messages, by what it sends them.
type Fanout struct {
	// Near are the steered hosts that get all observations.
	Near []Host
	// Far are relays that are not in Near: those of the own failure domain and, if the
	// sender is a relay or not steered, those of other domains. A steered host in Far
	// gets the sender's requests in flight at the targets of its domain, unless that
	// domain has cells. It gets the other observations only if it requests them.
	Far []Host
	// Rest are the hosts that get no observations, only the offsets up to which the
	// topics of the store have been read.
	Rest []Host
	// IsRelay says that the host passes on what it receives to Rest.
	IsRelay bool
}

// NewFanout returns the fan-out of self, one of the living hosts. Few steered hosts
// form a full mesh, in which each sends to every other host directly. Many share
// observations only with the steered hosts of their failure domain, where their
// targets are, or of their cell, and send to other hosts through relays.
func NewFanout(self Host, alive, steered []Host) Fanout {
	if IsFullMesh(len(steered)) {
		return Fanout{
			Near:    slices.DeleteFunc(slices.Clone(steered), func(h Host) bool { return h.Name == self.Name }),
			Rest:    slices.DeleteFunc(slices.Clone(alive), func(h Host) bool { return h.Name == self.Name || containsHost(steered, h.Name) }),
			IsRelay: containsHost(steered, self.Name),
		}
	}
	relays := Relays(alive, steered)
	fanout := Fanout{IsRelay: containsHost(relays, self.Name)}
	steeredNames := hostNames(steered)
	isSteered := steeredNames[self.Name]
	if isSteered {
		cell := findCell(hostsInDomain(steered, self.FailureDomain), self.Name)
		fanout.Near = slices.DeleteFunc(slices.Clone(cell), func(h Host) bool { return h.Name == self.Name })
	}
	// A steered host that is not a relay reaches other domains through the relays of its own.
	sendsFar := fanout.IsRelay || !isSteered
	fanout.Far = slices.DeleteFunc(slices.Clone(relays), func(h Host) bool {
		isEitherSteered := isSteered || steeredNames[h.Name]
		isOwnDomain := h.FailureDomain == self.FailureDomain
		return h.Name == self.Name || !isEitherSteered || (!isOwnDomain && !sendsFar) || containsHost(fanout.Near, h.Name)
	})
	if sendsFar {
		fanout.Rest = slices.DeleteFunc(hostsInDomain(alive, self.FailureDomain), func(h Host) bool {
			return h.Name == self.Name || containsHost(relays, h.Name) || containsHost(fanout.Near, h.Name)
		})
	}
	return fanout
}

// IsFullMesh reports whether a number of steered hosts is small enough for each to send to all hosts directly.
func IsFullMesh(steered int) bool {
	return steered <= maxFullMeshSteered
}

// Relays returns the relays of all failure domains. All steered hosts are relays, but
// only the first three in the order of ByCapacity in a domain with more than eight.
// In a domain with fewer than two steered hosts, its strongest other hosts are added.
func Relays(alive, steered []Host) []Host {
	count := make(map[string]int)
	for _, h := range steered {
		count[h.FailureDomain]++
	}
	remainingRelays := make(map[string]int)
	for domain, steeredInDomain := range count {
		remainingRelays[domain] = steeredInDomain
		if steeredInDomain > maxCellSize {
			remainingRelays[domain] = relaysInCellDomain
		}
	}
	var relays []Host
	for _, h := range ByCapacity(steered) {
		if remainingRelays[h.FailureDomain] > 0 {
			remainingRelays[h.FailureDomain]--
			relays = append(relays, h)
		}
	}
	steeredNames := hostNames(steered)
	for _, h := range ByCapacity(alive) {
		if count[h.FailureDomain] < minRelays && !steeredNames[h.Name] {
			count[h.FailureDomain]++
			relays = append(relays, h)
		}
	}
	return relays
}

// ByCapacity returns the hosts with the largest capacity first. Hosts of equal capacity
// in one failure domain are in the order in which SelectSteered selects them.
func ByCapacity(hosts []Host) []Host {
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = score("", h.Name)
	}
	return slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}

func hostNames(hosts []Host) map[string]bool {
	names := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		names[h.Name] = true
	}
	return names
}
