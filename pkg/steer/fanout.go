package steer

import (
	"cmp"
	"slices"
)

const (
	// maxFullMeshSteered is the number of steered hosts up to which each sends to all hosts directly. The traffic between them grows with the square of their number. Eight of them form 56 pairs of sender and receiver, which send about half a MB a second in total.
	maxFullMeshSteered = 8
	// minRelays is the least number of relays of a failure domain, unless it has fewer hosts. The failure of a relay may go unnoticed for a second, in which the other one still passes messages on.
	minRelays = 2
)

// Fanout lists the hosts to which a host sends messages, by what it sends them.
type Fanout struct {
	// Near are the steered hosts that get all observations.
	Near []Host
	// Far are relays that are not in Near. If the sender is steered, they are those of
	// its own failure domain and, if it is a relay, also those of other domains. If it
	// is not steered, they are the steered relays of all domains. A steered host in Far
	// gets the sender's observations of targets in the receiver's failure domain at which
	// the sender has requests in flight, unless that domain has cells. It gets the other
	// observations only if it requests them.
	Far []Host
	// Rest are the hosts that get no observations, only the offsets up to which the
	// topics of the store have been read and, from a relay, which steered hosts are
	// alive. It is empty for a steered host that is not a relay.
	Rest []Host
	// IsRelay says that the host passes on what it receives to Rest.
	IsRelay bool
}

// NewFanout returns the fan-out of self, one of the living hosts. Up to eight steered
// hosts form a full mesh, in which each sends to every other host directly and counts
// as a relay. If there are more, each shares all observations only with the steered
// hosts of its failure domain, or of its cell if the domain has cells, because the
// targets that HeldByDomain assigns to it are mostly in that domain. It reaches other
// hosts through relays.
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

// IsFullMesh reports whether a number of steered hosts is small enough for each to send to all hosts directly, as in NewFanout.
func IsFullMesh(steered int) bool {
	return steered <= maxFullMeshSteered
}

// Relays returns the relays of all failure domains if the steered hosts do not form a
// full mesh. All steered hosts are relays, but in a domain with more than eight of them
// only the first three in the order of ByCapacity are. In a domain with fewer than two
// steered hosts, its strongest other hosts are added until there are two relays.
func Relays(alive, steered []Host) []Host {
	// count is the number of steered hosts of each domain. The last loop adds the relays that are not steered.
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
