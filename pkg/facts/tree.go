package facts

import (
	"slices"
	"time"
)

const (
	// maxLocalChildren is the number of hosts of its own failure domain that a host gives a whole topic, before it sends others to these; a weak host's link takes as many copies of some 60 KB in a tenth of a second.
	maxLocalChildren = 4
	// maxRemoteChildren is the same for each other failure domain.
	maxRemoteChildren = 1
	// childLifetime is how long a host that was given a topic is named to others; all hosts of a fleet start within less.
	childLifetime = 5 * time.Second
)

// Requester is a host that asks for a whole topic.
type Requester struct {
	Address       string
	FailureDomain string
	// RedirectFailed says that the hosts it was sent to did not help.
	RedirectFailed bool
}

// DistributionTree spreads whole topics over hosts that start at the same time: a host
// answers a few of them and sends the others to these, so that nobody answers
// all, and a topic crosses between failure domains once.
type DistributionTree struct {
	failureDomain string
	children      map[string][]child
	nextIndex          int
}

// child is a host that was given the topic.
type child struct {
	address string
	servedAt      time.Time
}

// NewDistributionTree returns the tree of a host in a failure domain.
func NewDistributionTree(failureDomain string) *DistributionTree {
	return &DistributionTree{failureDomain: failureDomain, children: make(map[string][]child)}
}

// Redirect returns the address that an asker is sent to, or nothing if this host
// answers it; relays are hosts of the asker's failure domain that know the topic.
func (t *DistributionTree) Redirect(now time.Time, asker *Requester, relays []string) string {
	if asker.RedirectFailed || asker.Address == "" {
		return ""
	}
	isFar := asker.FailureDomain != t.failureDomain
	others := slices.DeleteFunc(slices.Clone(relays), func(a string) bool { return a == asker.Address })
	if isFar && len(others) > 0 {
		return t.roundRobin(others)
	}
	most := maxLocalChildren
	if isFar {
		most = maxRemoteChildren
	}
	known := slices.DeleteFunc(t.children[asker.FailureDomain], func(c child) bool {
		return now.Sub(c.servedAt) > childLifetime || c.address == asker.Address
	})
	if len(known) < most {
		t.children[asker.FailureDomain] = append(known, child{address: asker.Address, servedAt: now})
		return ""
	}
	t.children[asker.FailureDomain] = known
	for _, c := range known {
		others = append(others, c.address)
	}
	return t.roundRobin(others)
}

func (t *DistributionTree) roundRobin(addresses []string) string {
	t.nextIndex++
	return addresses[t.nextIndex%len(addresses)]
}
