package server

import (
	"fmt"
	"sync"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// The promise to a target that names a limit: from LimitSettleTime after it first named
// it, the target gets in any limitWindow no more than limitFactor times what the limit
// allows, and limitAllowance more.
const (
	LimitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitAllowance  = 5
)

// LimitRecord records the limits that a target names, and the requests and probes that it
// gets. It is safe for concurrent use.
type LimitRecord struct {
	mu sync.Mutex
	// text is what the target states; empty for no limit.
	text string
	// periods are the times during which the target named a usable limit, oldest first.
	periods  []limitPeriod
	arrivals []LimitArrival
}

// limitPeriod is a time during which a target names one limit. It is open while to is zero.
type limitPeriod struct {
	from, to  time.Time
	perSecond float64
}

// LimitArrival is a request or a probe.
type LimitArrival struct {
	At time.Time
	// ID is that of the request; empty for a probe.
	ID string
}

// LimitExcess is a window in which a target got more requests than its limit allows.
type LimitExcess struct {
	PerSecond float64
	Got       int
	Allowed   float64
}

// String describes the window.
func (e LimitExcess) String() string {
	return fmt.Sprintf("%d requests in %v at a limit of %v a second, allowed %v", e.Got, limitWindow, e.PerSecond, e.Allowed)
}

// Name makes the target state a text; an empty one ends the limit. An unusable text leaves
// the limit in force that was named before. The same text again has no effect.
func (l *LimitRecord) Name(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text == l.text {
		return
	}
	l.text = text
	named := limit.Parse(text)
	if !named.IsUsable() {
		return
	}
	if last := len(l.periods) - 1; last >= 0 && l.periods[last].to.IsZero() {
		l.periods[last].to = time.Now()
	}
	if named.PerSecond > 0 {
		l.periods = append(l.periods, limitPeriod{from: time.Now(), perSecond: named.PerSecond})
	}
}

// Add records a request or a probe that arrives now, and returns the text that its answer
// states.
func (l *LimitRecord) Add(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, LimitArrival{At: time.Now(), ID: id})
	return l.text
}

// LastNamed returns the limit that the target named last; zero if it never named one.
func (l *LimitRecord) LastNamed() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.periods) == 0 {
		return 0
	}
	return l.periods[len(l.periods)-1].perSecond
}

// WorstExcess returns the window with the most requests beyond the allowed ones, and
// whether there is one. counts says whether an arrival counts.
func (l *LimitRecord) WorstExcess(counts func(LimitArrival) bool) (LimitExcess, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var worst LimitExcess
	for i := range l.periods {
		p := &l.periods[i]
		allowed := limitFactor*p.perSecond*limitWindow.Seconds() + limitAllowance
		got := l.mostInWindow(p, counts)
		if excess := float64(got) - allowed; excess > 0 && excess > float64(worst.Got)-worst.Allowed {
			worst = LimitExcess{PerSecond: p.perSecond, Got: got, Allowed: allowed}
		}
	}
	return worst, worst.Got > 0
}

// mostInWindow returns the largest number of arrivals in a window of a period.
func (l *LimitRecord) mostInWindow(p *limitPeriod, counts func(LimitArrival) bool) int {
	most := 0
	var window []time.Time
	for _, a := range l.arrivals {
		if a.At.Before(p.from.Add(LimitSettleTime)) || (!p.to.IsZero() && a.At.After(p.to)) || !counts(a) {
			continue
		}
		window = append(window, a.At)
		for a.At.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}
