package steer

import (
	"cmp"
	"slices"
)

const (
	// maxFullMeshHosts is the number of steered hosts up to which each tells all hosts everything; the traffic grows with its square, and 56 pairs send about half a MB a second.
	maxFullMeshHosts = 8
	// minRelays is the number of hosts of a failure domain that pass on what steered hosts tell; one may fail unnoticed for a second.
	minRelays = 2
)

// Fanout says whom a host tells what it knows and sees.
type Fanout struct {
	// Near are steered hosts with which everything is shared that is seen of targets.
	Near []Host
	// Far are steered hosts and relays of other failure domains, and of the own one
	// if it has cells. Where the steered hosts of their domain have no cells, they are
	// told of requests at targets of that domain, and of the rest only if they ask.
	Far []Host
	// Rest are the hosts that are told only how far the store is known.
	Rest []Host
	// IsRelay says that the host passes on what it hears to Rest.
	IsRelay bool
}

// NewFanout returns the fan-out of one of the living hosts. Few steered hosts
// tell everyone everything. Many share what they see within their failure
// domain, where their targets are, or within a cell of it, and leave the other
// hosts to the relays.
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
	amongSteered := hostNames(steered)
	isSteered := amongSteered[self.Name]
	if isSteered {
		cell := findCell(hostsInDomain(steered, self.FailureDomain), self.Name)
		fanout.Near = slices.DeleteFunc(slices.Clone(cell), func(h Host) bool { return h.Name == self.Name })
	}
	// A steered host that is no relay leaves other domains to those of its own.
	tellsFar := fanout.IsRelay || !isSteered
	fanout.Far = slices.DeleteFunc(slices.Clone(relays), func(h Host) bool {
		isTold := isSteered || amongSteered[h.Name]
		isOwn := h.FailureDomain == self.FailureDomain
		return h.Name == self.Name || !isTold || (!isOwn && !tellsFar) || containsHost(fanout.Near, h.Name)
	})
	if tellsFar {
		fanout.Rest = slices.DeleteFunc(hostsInDomain(alive, self.FailureDomain), func(h Host) bool {
			return h.Name == self.Name || containsHost(relays, h.Name) || containsHost(fanout.Near, h.Name)
		})
	}
	return fanout
}

// IsFullMesh reports whether steered hosts are few enough for each to tell all hosts everything.
func IsFullMesh(steered int) bool {
	return steered <= maxFullMeshHosts
}

// Relays returns the hosts that pass on what they know: the steered ones, but of
// a failure domain with cells only the first, and the strongest others of each
// domain in which there are too few of them.
func Relays(alive, steered []Host) []Host {
	count := make(map[string]int)
	for _, h := range steered {
		count[h.FailureDomain]++
	}
	most := make(map[string]int)
	for domain, steeredThere := range count {
		most[domain] = steeredThere
		if steeredThere > maxCellSize {
			most[domain] = relaysWithCells
		}
	}
	var relays []Host
	for _, h := range ByCapacity(steered) {
		if most[h.FailureDomain] > 0 {
			most[h.FailureDomain]--
			relays = append(relays, h)
		}
	}
	amongSteered := hostNames(steered)
	for _, h := range ByCapacity(alive) {
		if count[h.FailureDomain] < minRelays && !amongSteered[h.Name] {
			count[h.FailureDomain]++
			relays = append(relays, h)
		}
	}
	return relays
}

// ByCapacity returns the hosts with the strongest first, and among equals those
// that Strong takes first in their failure domain.
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
