package admit

import (
	"cmp"
	"maps"
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
	// stallTime is how long a client whose body or answer has just begun may leave the host
	// waiting before its connection may be closed for others.
	stallTime = time.Second
	// slowBytes is the number of bytes by which a client earns a further second.
	slowBytes = 8 << 10
	// leadBytes is the number of bytes by which a client may get a second further ahead, up to
	// maxLead. Its kernel may acknowledge nothing until a sixteenth of what the client has
	// buffered is read.
	leadBytes = 16 * slowBytes
	maxLead   = 10 * time.Second
	// judgePeriod is the shortest time between two measurements of the same connection.
	judgePeriod = 100 * time.Millisecond
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

// Progress is how far the client of a connection has come with a body or an answer.
type Progress struct {
	// IsAwaited says that the host waits for the client, and for nothing else.
	IsAwaited bool
	// Bytes is how much of the body has arrived, or how much of the answer the client has
	// acknowledged, since the phase began.
	Bytes int64
}

// Meter measures the progress of connections.
type Meter interface {
	// Progress is called for connections in the phases Body and Answer.
	Progress(id uint64) Progress
}

type conn struct {
	id      uint64
	address string
	phase   Phase
	// since is when the phase began.
	since time.Time
	held  int
	// dueAt is until when the client has earned its place by the bytes that it has moved,
	// of which counted are counted. It was last judged at judgedAt.
	dueAt    time.Time
	counted  int64
	judgedAt time.Time
}

// judge updates dueAt. A client that moves slowBytes a second stays ahead of it, and one
// that the host does not wait for can't be late.
func (c *conn) judge(progress Progress, now time.Time) {
	c.judgedAt = now
	if !progress.IsAwaited {
		c.dueAt = now.Add(stallTime)
	}
	if moved := progress.Bytes - c.counted; moved > 0 {
		c.counted = progress.Bytes
		c.dueAt = c.dueAt.Add(seconds(float64(moved) / slowBytes))
	}
	lead := min(stallTime+seconds(float64(c.counted)/leadBytes), maxLead)
	if latest := now.Add(lead); c.dueAt.After(latest) {
		c.dueAt = latest
	}
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// isYoung reports whether nothing of a request is lost if the connection is closed.
func (c *conn) isYoung() bool {
	return c.phase == Head || c.phase == Idle
}

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limits Limits
	meter  Meter
	// young are the connections in the phases Head and Idle, and busy the others.
	young, busy map[uint64]*conn
	held        int
	// noneLateUntil is set when no busy connection was found late.
	noneLateUntil time.Time
	lateness      lateness
}

// New returns a table without connections.
func New(limits Limits, meter Meter) *Table {
	return &Table{limits: limits, meter: meter, young: make(map[uint64]*conn), busy: make(map[uint64]*conn), lateness: newLateness()}
}

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.young) + len(t.busy) }

// Held returns the number of bytes held for all connections.
func (t *Table) Held() int { return t.held }

// Open adds a connection and returns those that must be closed for it. If ok is false the
// connection was not added and must be closed itself.
func (t *Table) Open(id uint64, address string, now time.Time) (shed []uint64, ok bool) {
	if excess := t.Connections() + 1 - t.limits.Connections; excess > 0 {
		shed = t.shedConnections(excess, now)
	}
	if t.Connections() >= t.limits.Connections {
		return shed, false
	}
	t.young[id] = &conn{id: id, address: address, since: now}
	return shed, true
}

// lookup returns an open connection, nil if there is none.
func (t *Table) lookup(id uint64) *conn {
	if c, isYoung := t.young[id]; isYoung {
		return c
	}
	return t.busy[id]
}

// Enter sets the phase of a connection. In the phase Idle nothing is held for it.
func (t *Table) Enter(id uint64, phase Phase, now time.Time) {
	c := t.lookup(id)
	if c == nil || c.phase == phase {
		return
	}
	delete(t.young, id)
	delete(t.busy, id)
	c.phase, c.since, c.dueAt, c.counted = phase, now, now.Add(stallTime), 0
	if c.isYoung() {
		t.young[id] = c
	} else {
		t.busy[id] = c
	}
	if phase == Idle {
		t.held -= c.held
		c.held = 0
	}
}

// Hold adds bytes that are held for a connection, and returns the connections that must be
// closed for that. If ok is false the bytes were not added. The connection may be among
// those to close, and it may have been closed before.
func (t *Table) Hold(id uint64, bytes int, now time.Time) (shed []uint64, ok bool) {
	c := t.lookup(id)
	if c == nil {
		return nil, false
	}
	limit := t.limits.Bytes
	if bytes > heavyBytes {
		limit = int(heavyShare * float64(limit))
	}
	if excess := t.held + bytes - limit; excess > 0 {
		shed = t.shedBytes(excess, now)
	}
	if t.lookup(id) == nil || t.held+bytes > limit {
		return shed, false
	}
	c.held += bytes
	t.held += bytes
	return shed, true
}

// Release removes bytes that were held for a connection.
func (t *Table) Release(id uint64, bytes int) {
	if c := t.lookup(id); c != nil {
		released := min(bytes, c.held)
		c.held -= released
		t.held -= released
	}
}

// Yield removes a connection if its client is late, and reports whether it did. The connection
// must then be closed.
func (t *Table) Yield(id uint64, now time.Time) bool {
	c, isBusy := t.busy[id]
	if !isBusy || !t.isLate(c, now) {
		return false
	}
	t.closeAll([]*conn{c}, now)
	return true
}

// IsAddressLate reports whether several connections from the address of a connection were
// closed recently because their clients were late.
func (t *Table) IsAddressLate(id uint64, now time.Time) bool {
	c := t.lookup(id)
	return c != nil && t.lateness.isLate(c.address, now)
}

// Close removes a connection.
func (t *Table) Close(id uint64) {
	if c := t.lookup(id); c != nil {
		t.held -= c.held
		delete(t.young, id)
		delete(t.busy, id)
	}
}

// shedConnections closes at least the given number of connections, if so many may be closed.
// Of those with unfinished heads, the addresses with most of them come first, and then the
// oldest. Of those that are late, the latest come first.
func (t *Table) shedConnections(excess int, now time.Time) []uint64 {
	heads := make(map[string]int)
	for _, c := range t.young {
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
		return cmp.Or(order, a.dueAt.Compare(b.dueAt), a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	count := max(excess, int(shedShare*float64(t.limits.Connections)))
	candidates = candidates[:min(count, len(candidates))]
	return t.closeAll(candidates, now)
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
	return t.closeAll(candidates[:count], now)
}

// candidates returns the connections that may be closed for others.
func (t *Table) candidates(now time.Time) []*conn {
	found := slices.Collect(maps.Values(t.young))
	if now.Before(t.noneLateUntil) {
		return found
	}
	for _, c := range t.busy {
		if t.isLate(c, now) {
			found = append(found, c)
		}
	}
	if len(found) == len(t.young) {
		t.noneLateUntil = now.Add(judgePeriod)
	}
	return found
}

// isLate reports whether the client of a busy connection has lost its place: it moves fewer
// than slowBytes a second, although the host waits for it.
func (t *Table) isLate(c *conn, now time.Time) bool {
	if c.phase == Running {
		return false
	}
	if now.Sub(c.judgedAt) >= judgePeriod {
		c.judge(t.meter.Progress(c.id), now)
	}
	return !now.Before(c.dueAt)
}

func (t *Table) closeAll(conns []*conn, now time.Time) []uint64 {
	ids := make([]uint64, 0, len(conns))
	for _, c := range conns {
		if !c.isYoung() {
			t.lateness.add(c.address, now)
		}
		ids = append(ids, c.id)
		t.Close(c.id)
	}
	return ids
}
