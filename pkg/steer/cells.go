package steer

import (
	"cmp"
	"slices"
)

const (
	// maxCellSize is the number of steered hosts of a failure domain that share all they see; each sends seven others a few hundred bytes every 50 ms.
	maxCellSize = 8
	// relaysWithCells is the number of relays of a failure domain divided into cells; while two of them fail at once, the third passes on what is known.
	relaysWithCells = 3
)

// divideIntoCells divides the steered hosts of a failure domain into groups of at most
// cellMost that share what they see of targets, so that this traffic follows the
// number of hosts and not its square. The groups are runs in the order of
// strength: a host more or less moves few others.
func divideIntoCells(steered []Host) [][]Host {
	sorted := ByCapacity(steered)
	count := (len(sorted) + maxCellSize - 1) / maxCellSize
	divided := make([][]Host, 0, count)
	for i := range count {
		divided = append(divided, sorted[i*len(sorted)/count:(i+1)*len(sorted)/count])
	}
	return divided
}

// findCell returns the group of one of the steered hosts of a failure domain.
func findCell(steered []Host, name string) []Host {
	for _, cell := range divideIntoCells(steered) {
		if containsHost(cell, name) {
			return cell
		}
	}
	return nil
}

// HasCells reports whether the steered hosts of a failure domain are divided
// into cells: most of them are then heard of through relays only.
func HasCells(steered []Host, failureDomain string) bool {
	return !IsFullMesh(len(steered)) && len(hostsInDomain(steered, failureDomain)) > maxCellSize
}

func hostsInDomain(hosts []Host, failureDomain string) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.FailureDomain != failureDomain })
}

// heldByRanges returns the targets of a failure domain with many holders that one
// of them holds. Holders in the order of strength have runs of targets in the
// order of their scores: a holder more or less moves targets between
// neighbours, which mostly share a cell.
func heldByRanges(service string, targets []Target, holders []Host, self string) []Target {
	place := slices.IndexFunc(ByCapacity(holders), func(h Host) bool { return h.Name == self })
	if place < 0 {
		return nil
	}
	scores := make(map[string]uint64, len(targets))
	for _, t := range targets {
		scores[t.Name] = score(service, t.Name)
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(a, b Target) int {
		return cmp.Or(cmp.Compare(scores[a.Name], scores[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return sorted[place*len(sorted)/len(holders) : (place+1)*len(sorted)/len(holders)]
}

// HostsForCaller returns the hosts that a caller in a failure domain is told of, at most
// a number of them: those near it first. Where there are more, each caller is
// told of others, and of the same ones each time.
func HostsForCaller(steered []Host, caller, failureDomain string, most int) []Host {
	if len(steered) <= most {
		return steered
	}
	return NearestFirst(Ranked(caller, steered), failureDomain)[:most]
}

// SharingHostCount returns how many hosts use the targets alike. One in a failure domain
// with cells knows the strongest of other domains only, and takes these to have
// as many as its own.
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
