package entry

import (
	"slices"
	"strings"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// AdminView implements admin.Handler for a daemon; it converts the daemon's state to the types of package admin.
type AdminView struct {
	*Daemon
}

// Status implements admin.Handler.
func (o AdminView) Status() admin.Status {
	d := o.Daemon
	now := time.Now()
	isolated := d.isIsolated(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	status := admin.Status{
		Host:          d.settings.Name,
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.FailureDomain,
		Ready:         d.ready,
		Leaving:       d.draining.Load(),
		Isolated:      isolated,
		LogAgeMillis:  (now.UnixNano() - d.lastPlatformRead.Load()) / int64(time.Millisecond),
		Members:       d.memberViews(now),
	}
	for _, s := range d.services {
		status.Services = append(status.Services, d.serviceView(s, now))
	}
	slices.SortFunc(status.Services, func(a, b admin.Service) int { return strings.Compare(a.Name, b.Name) })
	return status
}

func (d *Daemon) memberViews(now time.Time) []admin.Member {
	members := d.members.Members(now)
	views := make([]admin.Member, 0, len(members))
	for i := range members {
		m := &members[i]
		views = append(views, admin.Member{
			Name: m.Name, FailureDomain: m.FailureDomain, AdminAddress: m.AdminAddress, State: m.State.String(),
			Incarnation: m.Incarnation, HeardMillis: now.Sub(m.LastSeen).Milliseconds(), ClockLeadMicros: d.clockLeads[m.Name].Microseconds(),
		})
	}
	return views
}

func (d *Daemon) serviceView(s *service, now time.Time) admin.Service {
	view := admin.Service{Name: s.name, Version: s.version, Policy: s.document.Policy, IsHeld: d.isHolder(s)}
	for _, h := range s.holders {
		view.Holders = append(view.Holders, h.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	view.Waiting = s.pool.Waiting()
	view.Load = s.pool.Load()
	views := s.pool.Views(now)
	for i := range views {
		view.Targets = append(view.Targets, targetView(&views[i], s.addresses[views[i].Name]))
	}
	return view
}

func targetView(v *choose.View, address string) admin.Target {
	view := admin.Target{
		Name: v.Name, FailureDomain: v.FailureDomain, Address: address, State: "InUse",
		InFlight: v.InFlight, Limit: v.Limit, ReportedRunning: v.Reported.Running, ReportedWaiting: v.Reported.Waiting,
		HeardMillis: v.ReportAge.Milliseconds(), LastMicros: v.LastLatency.Microseconds(), IsSpare: v.Spare,
	}
	switch {
	case v.Draining:
		view.State = "Draining"
	case v.Ejected:
		view.State = "Ejected"
		view.Cause = v.EjectedCause
	case v.Spare:
		view.State = "HeldElsewhere"
	}
	return view
}

// Documents implements admin.Handler.
func (o AdminView) Documents() admin.Documents {
	d := o.Daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := admin.Documents{Host: d.settings.Name, Ready: d.ready, Through: d.reader.Through()}
	for _, document := range d.reader.Documents() {
		s, found := d.services[document.Service]
		reply.Known = append(reply.Known, admin.Document{
			Service: document.Service, Version: document.Version.Version, Author: document.Author, Text: document.Text,
			InForce: found && s.version == document.Version.Version,
		})
	}
	return reply
}
