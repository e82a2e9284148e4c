package choose

import (
	"slices"
	"strings"
	"time"
)

// View is what the pool knows of one target, for people.
type View struct {
	Target
	InFlight     int
	Limit        int
	Reported     Report
	ReportAge    time.Duration
	Foreign      int
	LastLatency  time.Duration
	Ejected      bool
	EjectedCause string
	Draining     bool
}

// Views returns every target by name.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.targets))
	for _, s := range p.targets {
		views = append(views, View{
			Target: s.Target, InFlight: s.inFlight, Limit: min(s.limit, p.settings.Slots),
			Reported: s.report, ReportAge: now.Sub(s.lastContact), Foreign: s.foreignLoad(now), LastLatency: s.lastLatency,
			Ejected: s.isEjected(now), EjectedCause: s.ejectCause, Draining: s.draining || s.Leaving,
		})
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return views
}
