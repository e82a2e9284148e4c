package steer

import (
	"cmp"
	"slices"
)

const (
	// maxCellSize is the largest number of steered hosts in a cell. It bounds the traffic, since each host sends a few hundred bytes to each of the seven others every 50 ms.
	maxCellSize = 8
	// relaysInCellDomain is the number of relays of a failure domain with cells. If two of them fail at once, the third still passes on what it receives.
	relaysInCellDomain = 3
)

// divideIntoCells divides the steered hosts of a failure domain into cells of at most
// maxCellSize, so that the traffic of observations grows in proportion to the number
// of hosts and not to its square. The cells are ranges in the order of ByCapacity.
// While their number stays the same, adding or losing a host moves at most one other
// host across each boundary between cells.
func divideIntoCells(steered []Host) [][]Host {
	sorted := ByCapacity(steered)
	count := (len(sorted) + maxCellSize - 1) / maxCellSize
	divided := make([][]Host, 0, count)
	for i := range count {
		divided = append(divided, sorted[i*len(sorted)/count:(i+1)*len(sorted)/count])
	}
	return divided
}

// findCell returns the cell that contains the host with the given name, or nil if it is
// not among steered, which must be all steered hosts of one failure domain.
func findCell(steered []Host, name string) []Host {
	for _, cell := range divideIntoCells(steered) {
		if containsHost(cell, name) {
			return cell
		}
	}
	return nil
}

// HasCells reports whether the steered hosts of a failure domain are divided into
// cells. A host there that is not a relay receives observations only from its own cell,
// and learns through relays which other steered hosts are alive. HeldByDomain and
// SharingHostCount pass the holders of a service instead, which are the steered hosts in a
// fleet with a store.
func HasCells(steered []Host, failureDomain string) bool {
	return !IsFullMesh(len(steered)) && len(hostsInDomain(steered, failureDomain)) > maxCellSize
}

func hostsInDomain(hosts []Host, failureDomain string) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.FailureDomain != failureDomain })
}

// heldByRanges returns the targets that the holder named self holds in a failure
// domain with cells. The targets are sorted by score and divided into ranges, which
// the holders get in the order of ByCapacity. Adding or losing a holder then moves
// targets between holders that are next to each other in that order. Cells are
// ranges of the same order, so these holders are mostly in one cell.
func heldByRanges(service string, targets []Target, holders []Host, self string) []Target {
	position := slices.IndexFunc(ByCapacity(holders), func(h Host) bool { return h.Name == self })
	if position < 0 {
		return nil
	}
	scores := make(map[string]uint64, len(targets))
	for _, t := range targets {
		scores[t.Name] = score(service, t.Name)
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(a, b Target) int {
		return cmp.Or(cmp.Compare(scores[a.Name], scores[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return sorted[position*len(sorted)/len(holders) : (position+1)*len(sorted)/len(holders)]
}

// HostsForCaller returns the steered hosts whose addresses a caller in a failure
// domain gets. If there are more than maxCount, it returns that many, with those of
// the caller's domain first. The choice within a domain then depends on the caller, so
// that callers are spread over the hosts, and stays the same as long as the steered
// hosts do.
func HostsForCaller(steered []Host, caller, failureDomain string, maxCount int) []Host {
	if len(steered) <= maxCount {
		return steered
	}
	return NearestFirst(Ranked(caller, steered), failureDomain)[:maxCount]
}

// SharingHostCount returns the number of steered hosts that send requests to the same
// targets. With cells it is an estimate: a host in a failure domain with cells stores
// only the strongest hosts of other domains, so each of those domains is assumed to
// have as many steered hosts as its own.
func SharingHostCount(steered []Host, failureDomain string) int {
	if !HasCells(steered, failureDomain) {
		return len(steered)
	}
	domains := make(map[string]bool)
	for _, h := range steered {
		domains[h.FailureDomain] = true
	}
	return max(len(steered), len(domains)*len(hostsInDomain(steered, failureDomain)))
}
