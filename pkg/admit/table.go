package admit

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection.
const (
	// Head is the phase before the first request of the connection is whole.
	Head Phase = iota
	// Idle is the phase between two requests, also while the head of the next arrives.
	Idle
	// Body is the phase in which the body of a request arrives.
	Body
	// Running is the phase in which the request has arrived and has no answer.
	Running
	// Answer is the phase in which the caller gets its answer.
	Answer
)

const (
	// stallTime is how long a body or an answer must have stood still before its connection
	// may be closed for others.
	stallTime = time.Second
	// heavyBytes is the largest amount that may use all of Limits.Bytes. Larger ones may use
	// only heavyShare of them.
	heavyBytes = 24 << 10
	heavyShare = 0.75
	// shedShare is the part of a limit that is freed at once, so that a crowd does not cause
	// a search at each step.
	shedShare = 1.0 / 16
)

// Limits bound all connections together.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// Bytes is the largest number of bytes held for all of them.
	Bytes int
}

type conn struct {
	id      uint64
	address string
	phase   Phase
	// since is when the phase began or its bytes last moved.
	since time.Time
	held  int
}

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  map[uint64]*conn
	held   int
}

// New returns a table without connections.
func New(limits Limits) *Table {
	return &Table{limits: limits, conns: make(map[uint64]*conn)}
}

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.conns) }

// Held returns the number of bytes held for all connections.
func (t *Table) Held() int { return t.held }

// Open adds a connection and returns those that must be closed for it. If ok is false the
// connection was not added and must be closed itself.
func (t *Table) Open(id uint64, address string, now time.Time) (shed []uint64, ok bool) {
	if excess := len(t.conns) + 1 - t.limits.Connections; excess > 0 {
		shed = t.shedConnections(excess, now)
	}
	if len(t.conns) >= t.limits.Connections {
		return shed, false
	}
	t.conns[id] = &conn{id: id, address: address, since: now}
	return shed, true
}

// Enter sets the phase of a connection, or records that its bytes have moved. In the phase
// Idle nothing is held for it.
func (t *Table) Enter(id uint64, phase Phase, now time.Time) {
	c, exists := t.conns[id]
	if !exists {
		return
	}
	c.phase, c.since = phase, now
	if phase == Idle {
		t.held -= c.held
		c.held = 0
	}
}

// Hold adds bytes that are held for a connection, and returns the connections that must be
// closed for that. If ok is false the bytes were not added. The connection may be among
// those to close, and it may have been closed before.
func (t *Table) Hold(id uint64, bytes int, now time.Time) (shed []uint64, ok bool) {
	c, exists := t.conns[id]
	if !exists {
		return nil, false
	}
	limit := t.limits.Bytes
	if bytes > heavyBytes {
		limit = int(heavyShare * float64(limit))
	}
	if excess := t.held + bytes - limit; excess > 0 {
		shed = t.shedBytes(excess, now)
	}
	if _, exists = t.conns[id]; !exists || t.held+bytes > limit {
		return shed, false
	}
	c.held += bytes
	t.held += bytes
	return shed, true
}

// Close removes a connection.
func (t *Table) Close(id uint64) {
	if c, exists := t.conns[id]; exists {
		t.held -= c.held
		delete(t.conns, id)
	}
}

// shedConnections closes at least the given number of connections, if so many may be closed.
// Of those with unfinished heads, the addresses with most of them come first, and then the
// oldest.
func (t *Table) shedConnections(excess int, now time.Time) []uint64 {
	heads := make(map[string]int)
	for _, c := range t.conns {
		if c.phase == Head {
			heads[c.address]++
		}
	}
	candidates := t.candidates(now)
	slices.SortFunc(candidates, func(a, b *conn) int {
		order := cmp.Compare(a.phase, b.phase)
		if order == 0 && a.phase == Head {
			order = cmp.Compare(heads[b.address], heads[a.address])
		}
		return cmp.Or(order, a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	count := max(excess, int(shedShare*float64(t.limits.Connections)))
	candidates = candidates[:min(count, len(candidates))]
	return t.closeAll(candidates)
}

// shedBytes closes connections that hold at least the given number of bytes, if there are
// such. Of those in the same phase, the ones that hold most come first.
func (t *Table) shedBytes(excess int, now time.Time) []uint64 {
	candidates := slices.DeleteFunc(t.candidates(now), func(c *conn) bool { return c.held == 0 })
	slices.SortFunc(candidates, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(b.held, a.held), cmp.Compare(a.id, b.id))
	})
	wanted := max(excess, int(shedShare*float64(t.limits.Bytes)))
	count := 0
	for freed := 0; count < len(candidates) && freed < wanted; count++ {
		freed += candidates[count].held
	}
	return t.closeAll(candidates[:count])
}

// candidates returns the connections that may be closed for others.
func (t *Table) candidates(now time.Time) []*conn {
	var found []*conn
	for _, c := range t.conns {
		isStalled := now.Sub(c.since) >= stallTime
		if c.phase == Head || c.phase == Idle || (c.phase != Running && isStalled) {
			found = append(found, c)
		}
	}
	return found
}

func (t *Table) closeAll(conns []*conn) []uint64 {
	ids := make([]uint64, 0, len(conns))
	for _, c := range conns {
		ids = append(ids, c.id)
		t.Close(c.id)
	}
	return ids
}
