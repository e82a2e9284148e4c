package admit

import (
	"maps"
	"time"
)

const (
	// lateConnections is the number of connections from one address that must have been
	// closed for late clients, each within lateTime of the one before, for its address to
	// count as late. It does so for lateTime.
	lateConnections = 4
	lateTime        = 10 * time.Second
	// maxLateAddresses is the largest number of addresses that are remembered.
	maxLateAddresses = 1024
)

// lateness remembers the addresses whose clients were late.
type lateness struct {
	byAddress map[string]lateAddress
}

type lateAddress struct {
	closed int
	last   time.Time
}

func newLateness() lateness {
	return lateness{byAddress: make(map[string]lateAddress)}
}

// add records that a connection from an address was closed because its client was late.
func (l *lateness) add(address string, now time.Time) {
	isOver := func(_ string, a lateAddress) bool { return now.Sub(a.last) > lateTime }
	if len(l.byAddress) >= maxLateAddresses {
		maps.DeleteFunc(l.byAddress, isOver)
	}
	a, isKnown := l.byAddress[address]
	if !isKnown && len(l.byAddress) >= maxLateAddresses {
		return
	}
	if isOver(address, a) {
		a.closed = 0
	}
	l.byAddress[address] = lateAddress{closed: a.closed + 1, last: now}
}

func (l *lateness) isLate(address string, now time.Time) bool {
	a, isKnown := l.byAddress[address]
	return isKnown && a.closed >= lateConnections && now.Sub(a.last) <= lateTime
}
