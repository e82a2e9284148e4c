package facts

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxLocalChildren is the number of hosts of its own failure domain to which a host sends a snapshot of a topic before it redirects others to these. The link of a weak host carries four copies of some 60 KB in a tenth of a second.
	maxLocalChildren = 4
	// maxRemoteChildren is the corresponding number of hosts of each other failure domain.
	maxRemoteChildren = 1
	// childLifetime is how long after a host got the snapshot others are redirected to it. All hosts of a fleet start within less than that.
	childLifetime = 5 * time.Second
	// maxFailureDomains is the largest number of failure domains whose children are remembered.
	maxFailureDomains = 256
)

// Requester is a host that requests a snapshot of a topic.
type Requester struct {
	// Address is where other hosts can request the topic from this one; empty if they cannot.
	Address       string
	FailureDomain string
	// RedirectFailed says that the hosts to which it was redirected sent no snapshot.
	RedirectFailed bool
}

// DistributionTree spreads the copying of a topic when many hosts start at the same
// time. A host sends snapshots to a few hosts, its children in the tree, and redirects
// the others to these. So no host has to serve all others, and it sends a snapshot to
// each other failure domain only once in childLifetime. Hosts whose redirect failed, and
// those without an address, get one in addition.
type DistributionTree struct {
	failureDomain string
	// children are the hosts that got a snapshot recently, by failure domain.
	children map[string][]child
	// nextIndex counts the redirects, which go to each of the possible hosts by round robin.
	nextIndex int
}

type child struct {
	address  string
	servedAt time.Time
}

// NewDistributionTree returns the tree of a host in a failure domain.
func NewDistributionTree(failureDomain string) *DistributionTree {
	return &DistributionTree{failureDomain: failureDomain, children: make(map[string][]child)}
}

// Redirect returns the address to which the requester must be redirected, or an empty
// string if this host has to send it the snapshot. The relays are the addresses of hosts in
// the requester's failure domain that have the topic.
func (t *DistributionTree) Redirect(now time.Time, requester *Requester, relays []string) string {
	if requester.RedirectFailed || requester.Address == "" {
		return ""
	}
	isFar := requester.FailureDomain != t.failureDomain
	others := slices.DeleteFunc(slices.Clone(relays), func(a string) bool { return a == requester.Address })
	if isFar && len(others) > 0 {
		return t.roundRobin(others)
	}
	maxChildren := maxLocalChildren
	if isFar {
		maxChildren = maxRemoteChildren
	}
	recent := slices.DeleteFunc(t.children[requester.FailureDomain], func(c child) bool {
		return now.Sub(c.servedAt) > childLifetime || c.address == requester.Address
	})
	if len(recent) < maxChildren {
		if !t.hasRoomFor(now, requester.FailureDomain) {
			return ""
		}
		t.children[requester.FailureDomain] = append(recent, child{address: requester.Address, servedAt: now})
		return ""
	}
	t.children[requester.FailureDomain] = recent
	for _, c := range recent {
		others = append(others, c.address)
	}
	return t.roundRobin(others)
}

// hasRoomFor reports whether children of a failure domain can be remembered.
func (t *DistributionTree) hasRoomFor(now time.Time, failureDomain string) bool {
	if _, isKnown := t.children[failureDomain]; isKnown || len(t.children) < maxFailureDomains {
		return true
	}
	maps.DeleteFunc(t.children, func(_ string, children []child) bool {
		return !slices.ContainsFunc(children, func(c child) bool { return now.Sub(c.servedAt) <= childLifetime })
	})
	return len(t.children) < maxFailureDomains
}

func (t *DistributionTree) roundRobin(addresses []string) string {
	t.nextIndex++
	return addresses[t.nextIndex%len(addresses)]
}
