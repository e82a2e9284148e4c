package choose

import (
	"slices"
	"strings"
	"time"
)

// View is the state of one target for status output.
type View struct {
	Target
	InFlight int
	// Limit is the concurrency limit, at most Settings.Slots.
	Limit    int
	Reported Report
	// ReportAge is the time since the last answer, report or failed probe.
	ReportAge time.Duration
	// Foreign is the number of requests of other hosts that the reports show.
	Foreign     int
	LastLatency time.Duration
	Ejected     bool
	// EjectedCause is that of the last ejection, also after its end.
	EjectedCause string
	// Draining means that the target gets no new requests, by its report, an answer or Target.Leaving.
	Draining bool
}

// Views returns the state of every target, sorted by name.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.targets))
	for _, s := range p.targets {
		views = append(views, View{
			Target: s.Target, InFlight: s.inFlight, Limit: min(s.limit, p.settings.Slots),
			Reported: s.report, ReportAge: now.Sub(s.lastContact), Foreign: s.foreignLoad(now), LastLatency: s.lastLatency,
			Ejected: s.isEjected(now), EjectedCause: s.ejectCause, Draining: s.isLeaving(),
		})
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return views
}
