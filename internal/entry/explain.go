package entry

import (
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// Explain implements admin.Handler. It makes the decisions of a request without a body under
// the routes in force. Allotments are not part of it.
func (o AdminView) Explain(query admin.ExplainQuery) admin.Explanation {
	d := o.Daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	explanation := admin.Explanation{Host: d.settings.Name}
	matched := d.explainedRoute(&explanation, query)
	if matched == nil {
		return explanation
	}
	request := &route.Request{Terms: &matched.Terms, Deadline: now.Add(d.explainedLimit(&matched.Terms))}
	if organisations := d.routes.Organisations(); organisations != nil && !matched.Public {
		if request.Organisation = findOrganisation(organisations, query.Organisation); request.Organisation == nil {
			explanation.Refusal = "OrganisationUnknown"
			return explanation
		}
		explanation.OrganisationPriority = request.Organisation.Priority
	}
	explanation.Route, explanation.Idempotent, explanation.Priority = matched.Class, matched.Idempotent, matched.Priority
	explanation.ObjectiveMillis, explanation.TimeLimitMillis = inMillis(matched.Objective), inMillis(request.Deadline.Sub(now))
	explanation.ConfigurationAgeMillis = inMillis(d.configuration.topic.Age(now))
	for _, share := range matched.Shares {
		explanation.Services = append(explanation.Services, d.explainService(now, share, request))
	}
	return explanation
}

// explainedRoute returns the route of a request, or sets the reason why there is none; d.mu
// is held.
func (d *Daemon) explainedRoute(explanation *admin.Explanation, query admin.ExplainQuery) *table.Route {
	if !d.ready || d.routes == nil {
		explanation.Refusal = "ConfigurationUnknown"
		return nil
	}
	matched := d.routes.Match(query.CallerHost, query.Path)
	if matched == nil {
		explanation.Refusal = "NoRoute"
	}
	return matched
}

// explainedLimit is the time limit of a request whose caller sends none.
func (d *Daemon) explainedLimit(terms *table.Terms) time.Duration {
	if terms.TimeLimit > 0 {
		return min(terms.TimeLimit, d.settings.DeadlineAtMost)
	}
	return d.settings.DeadlineAtMost
}

func findOrganisation(registry *orgs.Registry, name string) *orgs.Organisation {
	all := registry.Organisations()
	at := slices.IndexFunc(all, func(o *orgs.Organisation) bool { return o.Name == name })
	if at < 0 {
		return nil
	}
	return all[at]
}

// explainService explains a request at one service of its route; d.mu is held.
func (d *Daemon) explainService(now time.Time, share table.Share, request *route.Request) admin.ServiceExplanation {
	view := admin.ServiceExplanation{Service: share.Service, Weight: share.Weight}
	s, found := d.services[share.Service]
	if !found {
		view.Refusal = "ServiceUnknown"
		return view
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, isExplained := s.pool.Explain(now, newArrival(request, d.lastRequestID.Add(1), request.Terms.AttemptsAtMost))
	if !isExplained {
		view.Refusal = "PolicyNotExplained"
		return view
	}
	view.Target, view.Refusal, view.WaitReason, view.Standing = e.Target, e.Refusal, e.WaitReason, e.Standing
	view.RetryAfterMillis, view.QueueingDelayMillis, view.WorkMillis = inMillis(e.RetryAfter), inMillis(e.QueueingDelay), inMillis(e.Work)
	view.WaitingBefore = e.WaitingBefore
	for i := range e.Targets {
		view.Targets = append(view.Targets, explainedTarget(&e.Targets[i]))
	}
	return view
}

func explainedTarget(t *choose.TargetExplanation) admin.TargetExplanation {
	return admin.TargetExplanation{
		Name: t.Name, FailureDomain: t.FailureDomain, PassedOver: t.PassedOver, Occupied: t.Occupied, Slots: t.Slots,
		Slowdown: t.Slowdown, SlowdownAgeMillis: inMillis(t.SlowdownAge), ReportAgeMillis: inMillis(t.ReportAge),
		ExpectedMillis: inMillis(t.ExpectedLatency), Cost: inMillis(t.Cost),
	}
}

func inMillis(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
