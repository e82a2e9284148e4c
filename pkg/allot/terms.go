package allot

import (
	"time"
)

const (
	// Window is the time in which the requests of an organisation are counted.
	Window = 5 * time.Second
	// overshoot and slack bound by how much the hosts together may exceed an allotment in a
	// window: by a part of it and a number of requests.
	overshoot = 0.1
	slack     = 20
	// inflowFactor makes up for tokens that are lost on the way or not used.
	inflowFactor = 1.02
	// bucketPart and reservePart are the parts of what may be taken in a window beyond the
	// inflow that belong to the owner's bucket and to the reserves of all hosts. The rest is
	// for the time in which two hosts regard themselves as the owner.
	bucketPart  = 0.25
	reservePart = 0.5
	// unsteeredPart is the part of the reserves that is divided among all hosts. Most callers
	// use the steered hosts, which have the rest.
	unsteeredPart = 0.15
)

// Terms are an allotment: a number of requests a second and how many more at once.
type Terms struct {
	PerSecond, Burst float64
}

// MostInWindow returns the largest number of requests in a window that is still within the
// allotment.
func (t Terms) MostInWindow() float64 {
	return (t.PerSecond*Window.Seconds()+t.Burst)*(1+overshoot) + slack
}

// inflow is the number of tokens a second that a bucket gets.
func (t Terms) inflow() float64 {
	return inflowFactor * t.PerSecond
}

// beyondInflow is what may be taken in a window beyond the inflow of the bucket.
func (t Terms) beyondInflow() float64 {
	return t.MostInWindow() - t.inflow()*Window.Seconds()
}

// capacity is the number of tokens that the bucket holds.
func (t Terms) capacity() float64 {
	return bucketPart * t.beyondInflow()
}

// burstSeconds is the time for which the burst lasts beyond the inflow, at most one second.
func (t Terms) burstSeconds() float64 {
	return min(t.Burst/t.PerSecond, 1)
}

// isLowerThan reports whether any part of the allotment is lower than that of another.
func (t Terms) isLowerThan(other Terms) bool {
	return t.PerSecond < other.PerSecond || t.Burst < other.Burst
}

// Spread is what a host knows of the hosts among which the reserves are divided.
type Spread struct {
	// Steered is the number of hosts to which callers are directed, and Known that of all.
	Steered, Known int
	// IsSteered says that this host is one of the former.
	IsSteered bool
}

// evenPart is this host's part of the inflow if all hosts that callers use have the same.
func (s Spread) evenPart(t Terms) float64 {
	if s.IsSteered {
		return t.inflow() / float64(max(s.Steered, 1))
	}
	return t.inflow() / float64(max(s.Known, 1))
}

// reserve is the number of requests in a window for which this host needs no token.
func (s Spread) reserve(t Terms) float64 {
	all := reservePart * t.beyondInflow()
	own := unsteeredPart * all / float64(max(s.Known, 1))
	if s.IsSteered {
		own += (1 - unsteeredPart) * all / float64(max(s.Steered, 1))
	}
	return own
}
