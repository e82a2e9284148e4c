package steer

import (
	"cmp"
	"slices"
)

const (
	// maxCellSize is the largest number of steered hosts of a failure domain that share all their observations; each sends seven others a few hundred bytes every 50 ms.
	maxCellSize = 8
	// relaysInCellDomain is the number of relays of a failure domain with cells; if two of them fail at once, the third still passes on what it receives.
	relaysInCellDomain = 3
)

// divideIntoCells divides the steered hosts of a failure domain into cells of at most
// maxCellSize, so that the traffic of observations grows in proportion to the number
// of hosts and not to its square. The cells are ranges in the order of ByCapacity, so
// that adding or losing a host moves few others to another cell.
func divideIntoCells(steered []Host) [][]Host {
	sorted := ByCapacity(steered)
	count := (len(sorted) + maxCellSize - 1) / maxCellSize
	divided := make([][]Host, 0, count)
	for i := range count {
		divided = append(divided, sorted[i*len(sorted)/count:(i+1)*len(sorted)/count])
	}
	return divided
}

// findCell returns the cell of one of the steered hosts of a failure domain.
func findCell(steered []Host, name string) []Host {
	for _, cell := range divideIntoCells(steered) {
		if containsHost(cell, name) {
			return cell
		}
	}
	return nil
}

// HasCells reports whether the steered hosts of a failure domain are divided into
// cells. A host then receives messages directly only from its own cell and from
// relays, and learns of the other steered hosts through relays.
func HasCells(steered []Host, failureDomain string) bool {
	return !IsFullMesh(len(steered)) && len(hostsInDomain(steered, failureDomain)) > maxCellSize
}

func hostsInDomain(hosts []Host, failureDomain string) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.FailureDomain != failureDomain })
}

// heldByRanges returns the targets that the holder named self holds in a failure
// domain with cells. The targets are sorted by score and divided into ranges, which
// the holders get in the order of ByCapacity. Adding or losing a holder then moves
// targets between neighbours in that order, which are mostly in the same cell.
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
// domain gets, at most maxCount, with those of its own domain first. If there are
// more, callers get different ones, and each caller gets the same ones every time.
func HostsForCaller(steered []Host, caller, failureDomain string, maxCount int) []Host {
	if len(steered) <= maxCount {
		return steered
	}
	return NearestFirst(Ranked(caller, steered), failureDomain)[:maxCount]
}

// SharingHostCount returns the number of steered hosts that share the targets. A host
// in a failure domain with cells stores only the strongest hosts of other domains, so
// it assumes that each of those domains has as many steered hosts as its own.
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
