package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/admit"
)

const (
	crowd    = "192.0.2.1"
	ordinary = "192.0.2.2"
)

// opened describes a connection that is open before the step that is tested.
type opened struct {
	address string
	phase   admit.Phase
	// age is how long ago the phase began, and held what is held for the connection.
	age  time.Duration
	held int
	// moved is how much of a body or an answer has moved, and isReady says that the client
	// has nothing to do.
	moved   int64
	isReady bool
}

// meter is an admit.Meter of connections that are numbered from 1.
type meter []opened

// Progress implements admit.Meter.
func (m meter) Progress(id uint64) admit.Progress {
	if id > uint64(len(m)) {
		return admit.Progress{IsAwaited: true}
	}
	return admit.Progress{IsAwaited: !m[id-1].isReady, Bytes: m[id-1].moved}
}

func newTable(t *testing.T, limits admit.Limits, open []opened, now time.Time) *admit.Table {
	t.Helper()
	table := admit.New(limits, meter(open))
	for i, o := range open {
		id, since := uint64(i+1), now.Add(-o.age)
		if _, ok := table.Open(id, o.address, since); !ok {
			t.Fatalf("connection %d was not opened", id)
		}
		if _, ok := table.Hold(id, o.held, since); !ok {
			t.Fatalf("nothing could be held for connection %d", id)
		}
		if o.phase != admit.Head {
			table.Enter(id, o.phase, since)
		}
	}
	return table
}

func TestOpen(t *testing.T) {
	tests := []struct {
		name   string
		open   []opened
		shed   []uint64
		refuse bool
	}{
		{name: "room", open: []opened{{phase: admit.Running}}},
		{name: "unfinished heads go before idle connections", open: []opened{{phase: admit.Idle, age: time.Minute}, {phase: admit.Running}, {phase: admit.Head}, {phase: admit.Answer}}, shed: []uint64{3}},
		{name: "the address with most unfinished heads first", open: []opened{{address: ordinary, age: 2 * time.Second}, {address: crowd, age: time.Second}, {address: crowd}, {phase: admit.Running}}, shed: []uint64{2}},
		{name: "the oldest head of one address", open: []opened{{age: time.Second}, {age: 3 * time.Second}, {age: 2 * time.Second}, {}}, shed: []uint64{2}},
		{name: "the connection that is idle longest", open: []opened{{phase: admit.Running}, {phase: admit.Idle, age: time.Second}, {phase: admit.Idle, age: time.Minute}, {phase: admit.Body}}, shed: []uint64{3}},
		{name: "a body that stands still", open: []opened{{phase: admit.Running, age: time.Minute}, {phase: admit.Body}, {phase: admit.Answer}, {phase: admit.Body, age: time.Second}}, shed: []uint64{4}},
		{name: "an answer that is not read", open: []opened{{phase: admit.Running}, {phase: admit.Body}, {phase: admit.Answer, age: time.Second}, {phase: admit.Answer}}, shed: []uint64{3}},
		{name: "a body of a few bytes now and then", open: []opened{{phase: admit.Running}, {phase: admit.Body, age: 3 * time.Second, moved: 30 << 10}, {phase: admit.Body, age: 2 * time.Second, moved: 6}, {phase: admit.Running}}, shed: []uint64{3}},
		{name: "the slowest of several", open: []opened{{phase: admit.Answer, age: time.Minute, moved: 100 << 10}, {phase: admit.Answer, age: time.Minute, moved: 50 << 10}, {phase: admit.Running}, {phase: admit.Answer, age: time.Minute, moved: 200 << 10}}, shed: []uint64{2}},
		{name: "answers that are read steadily stay", open: []opened{{phase: admit.Answer, age: time.Minute, moved: 1 << 20}, {phase: admit.Answer, age: 10 * time.Second, moved: 100 << 10}, {phase: admit.Body, age: 10 * time.Second, moved: 100 << 10}, {phase: admit.Running}}, refuse: true},
		{name: "bodies and answers that wait for a target stay", open: []opened{{phase: admit.Answer, age: time.Minute, isReady: true}, {phase: admit.Body, age: time.Minute, isReady: true}, {phase: admit.Running}, {phase: admit.Running}}, refuse: true},
		{name: "requests in progress stay", open: []opened{{phase: admit.Running, age: time.Minute}, {phase: admit.Body}, {phase: admit.Answer}, {phase: admit.Running}}, refuse: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newTable(t, admit.Limits{Connections: 4, Bytes: 1000}, tt.open, now)
			shed, ok := table.Open(100, ordinary, now)
			is.Equal(ok, !tt.refuse)
			is.True(slices.Equal(shed, tt.shed))
			is.True(table.Connections() <= 4)
		})
	}
}

func TestHold(t *testing.T) {
	const (
		limit = 64 << 10
		kib   = 1 << 10
	)
	tests := []struct {
		name   string
		open   []opened
		hold   int
		shed   []uint64
		refuse bool
	}{
		{name: "room", open: []opened{{held: 20 * kib}, {}}, hold: 20 * kib},
		{name: "the largest unfinished head", open: []opened{{held: 15 * kib}, {held: 16 * kib}, {held: 14 * kib}, {held: 10 * kib}}, hold: 10 * kib, shed: []uint64{2}},
		{name: "heads before stalled bodies", open: []opened{{phase: admit.Body, age: time.Minute, held: 30 * kib}, {held: 10 * kib}, {phase: admit.Running, held: 16 * kib}}, hold: 10 * kib, shed: []uint64{2}},
		{name: "stalled bodies before stalled answers", open: []opened{{phase: admit.Answer, age: time.Minute, held: 30 * kib}, {phase: admit.Body, age: time.Minute, held: 10 * kib}, {phase: admit.Running, held: 16 * kib}}, hold: 10 * kib, shed: []uint64{2}},
		{name: "connections that hold nothing stay", open: []opened{{}, {phase: admit.Running, held: 30 * kib}, {phase: admit.Running, held: 16 * kib}, {phase: admit.Running, held: 16 * kib}}, hold: 10 * kib, refuse: true},
		{name: "large amounts leave room for small ones", open: []opened{{phase: admit.Running, held: 30 * kib}}, hold: 25 * kib, refuse: true},
		{name: "small amounts use it", open: []opened{{phase: admit.Running, held: 48 * kib}}, hold: 15 * kib},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newTable(t, admit.Limits{Connections: 10, Bytes: limit}, tt.open, now)
			_, ok := table.Open(100, ordinary, now)
			is.True(ok)
			table.Enter(100, admit.Running, now)
			shed, ok := table.Hold(100, tt.hold, now)
			is.Equal(ok, !tt.refuse)
			is.True(slices.Equal(shed, tt.shed))
			is.True(table.Held() <= limit)
		})
	}
}

func TestHeldBytesAreReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newTable(t, admit.Limits{Connections: 10, Bytes: 1000}, []opened{{held: 100}, {held: 200}}, now)
	table.Enter(1, admit.Idle, now)
	is.Equal(table.Held(), 200)
	table.Close(2)
	is.Equal(table.Held(), 0)
	_, ok := table.Hold(2, 1, now) // nothing is held for a connection that is closed
	is.True(!ok)
}

// TestBytesEarnTime checks that a client keeps its place by the bytes that it moves, and for a
// limited time only if it stops, however many it has moved before.
func TestBytesEarnTime(t *testing.T) {
	const kib = 1 << 10
	tests := []struct {
		name string
		// After each period another piece has moved, pieces times.
		period time.Duration
		piece  int64
		pieces int
		// The place is lost between kept and lost after the last piece. A client that has just
		// been measured may have up to twice its lead.
		kept, lost time.Duration
	}{
		{name: "nothing", kept: 900 * time.Millisecond, lost: time.Second},
		{name: "what the kernel of the client has buffered", period: 100 * time.Millisecond, piece: 64 * kib, pieces: 1, kept: time.Second, lost: 2700 * time.Millisecond},
		{name: "slow and steady", period: 1500 * time.Millisecond, piece: 20 * kib, pieces: 20, kept: time.Second, lost: 12 * time.Second},
		{name: "a sixteenth of a large buffer at a time", period: 4 * time.Second, piece: 384 * kib, pieces: 20, kept: 4 * time.Second, lost: 15 * time.Second},
		{name: "much at once", period: 500 * time.Millisecond, piece: 10_000 * kib, pieces: 1, kept: 9 * time.Second, lost: 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			open := []opened{{phase: admit.Answer, moved: 6_000 * kib}}
			if tt.pieces <= 1 {
				open[0].moved = 0
			}
			table := newTable(t, admit.Limits{Connections: 1, Bytes: 1000}, open, now)
			loses := func(after time.Duration) bool {
				_, isOpened := table.Open(2, ordinary, now.Add(after))
				return isOpened
			}
			for range tt.pieces {
				is.True(!loses(tt.period - time.Millisecond))
				now = now.Add(tt.period)
				open[0].moved += tt.piece
			}
			is.True(!loses(0))
			is.True(!loses(tt.kept))
			is.True(loses(tt.lost))
		})
	}
}

// TestYield checks which connections give up a slot of a target that others need.
func TestYield(t *testing.T) {
	tests := []struct {
		name   string
		open   opened
		yields bool
	}{
		{name: "an answer that is not read", open: opened{phase: admit.Answer, age: 2 * time.Second}, yields: true},
		{name: "an answer that has just begun", open: opened{phase: admit.Answer}},
		{name: "an answer that is read", open: opened{phase: admit.Answer, age: 2 * time.Second, moved: 100 << 10}},
		{name: "a body of a few bytes now and then", open: opened{phase: admit.Body, age: 2 * time.Second, moved: 7}, yields: true},
		{name: "a body that its target does not read", open: opened{phase: admit.Body, age: time.Minute, isReady: true}},
		{name: "a request in progress", open: opened{phase: admit.Running, age: time.Minute}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newTable(t, admit.Limits{Connections: 2, Bytes: 1000}, []opened{tt.open}, now)
			is.Equal(table.Yield(1, now), tt.yields)
			is.Equal(table.Connections() == 0, tt.yields)
			is.True(!table.Yield(1, now) || !tt.yields) // a connection yields once
		})
	}
}

// TestLateAddresses checks when the other connections of an address are doubtful, and for how
// long. A crowd from many addresses makes the table forget none but those whose time is over.
func TestLateAddresses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := admit.New(admit.Limits{Connections: 10, Bytes: 1000}, meter(nil))
	yield := func(id uint64, address string) {
		_, ok := table.Open(id, address, now.Add(-time.Minute))
		is.True(ok)
		table.Enter(id, admit.Answer, now.Add(-time.Minute))
		is.True(table.Yield(id, now))
	}
	for id, address := range []string{crowd, ordinary} {
		_, ok := table.Open(uint64(id+1), address, now)
		is.True(ok)
	}
	for id := uint64(10); id < 13; id++ {
		yield(id, crowd)
		is.True(!table.IsAddressLate(1, now))
	}
	yield(13, crowd)
	is.True(table.IsAddressLate(1, now))
	is.True(!table.IsAddressLate(2, now))
	for i := range 5000 {
		yield(14, fmt.Sprintf("198.51.%d.%d", i/256, i%256))
	}
	is.True(table.IsAddressLate(1, now))
	now = now.Add(11 * time.Second)
	is.True(!table.IsAddressLate(1, now))
}
