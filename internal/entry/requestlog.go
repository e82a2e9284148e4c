package entry

import (
	"log/slog"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// grantFields returns the log fields of a grant: the target and the values by which the pool chose it.
func (r *activeRequest) grantFields(grant choose.Grant) []any {
	return []any{
		slog.String("Request", r.request.ID),
		slog.String("Service", r.service.name),
		slog.String("Class", r.class()),
		slog.String("Organisation", organisationName(r.request)),
		slog.String("Target", grant.Target),
		slog.Int("Attempt", grant.Attempt),
		slog.String("Cause", grant.Cause),
		slog.Float64("Slowdown", grant.Slowdown),
		slog.Int64("SlowdownAgeMillis", grant.SlowdownAge.Milliseconds()),
		slog.Int("Usable", grant.UsableTargets),
		slog.Int("Open", grant.OpenTargets),
		slog.Int("Limited", grant.LimitedTargets),
		slog.Float64("SaturationSlowdown", grant.SaturationSlowdown),
		slog.Int64("BestMillis", grant.BestLatency.Milliseconds()),
		slog.Int64("WaitedMillis", grant.Waited.Milliseconds()),
		slog.Int64("ExpectedMillis", grant.ExpectedLatency.Milliseconds()),
	}
}

// organisationName returns the name of the organisation of a request; empty without one.
func organisationName(request *route.Request) string {
	if request.Organisation == nil {
		return ""
	}
	return request.Organisation.Name
}

// class returns the class that the route gives the request, or an empty string without a route.
func (r *activeRequest) class() string {
	if r.request.Terms == nil {
		return ""
	}
	return r.request.Terms.Class
}

// logAnswered logs an answered request with the grant of the attempt that won.
func (r *activeRequest) logAnswered(won *attemptResult) {
	grant := r.attempts[won.attempt].grant
	fields := append(r.grantFields(grant),
		slog.Int("Attempts", len(r.attempts)),
		slog.Int("Status", won.answer.Status),
		slog.String("Verdict", won.answer.Verdict.String()),
		slog.Int64("TargetMillis", won.latency.Milliseconds()),
		slog.Int64("TotalMillis", time.Since(r.started).Milliseconds()),
	)
	if report := won.answer.Report; report != nil {
		fields = append(fields, slog.Int("ReportedRunning", report.Running), slog.Int("ReportedWaiting", report.Waiting), slog.Float64("ReportedSlowdown", report.Slowdown))
	}
	if named := won.answer.Limit.PerSecond; named > 0 {
		fields = append(fields, slog.Float64("ReportedLimit", named))
	}
	r.service.daemon.requestLog.Info("request answered", fields...)
}

func (r *activeRequest) logAttemptFailed(result *attemptResult) {
	fields := append(r.grantFields(r.attempts[result.attempt].grant),
		slog.String("Error", failureText(result)),
		slog.Int64("TargetMillis", result.latency.Milliseconds()),
	)
	r.service.daemon.requestLog.Warn("attempt failed", fields...)
}

// logFailedRequest counts and logs a request that is answered with an error of this host.
func (d *Daemon) logFailedRequest(request *route.Request, failed *fault.Error) {
	d.counters.countFailedRequest(d.serviceLabel(request.Service), failed)
	d.requestLog.Warn("request failed",
		slog.String("Request", request.ID),
		slog.String("Service", d.serviceLabel(request.Service)),
		slog.String("Organisation", organisationName(request)),
		slog.String("Reason", failed.Reason),
		slog.String("Verdict", failed.Verdict.String()),
		slog.Int64("DeadlineInMillis", time.Until(request.Deadline).Milliseconds()),
		slog.Int64("RetryAfterMillis", failed.RetryAfter.Milliseconds()),
		slog.String("Error", failed.Error()),
	)
}

// unknownService is the label of all services that the host doesn't have.
const unknownService = "unknown"

// serviceLabel returns the name of a service in metrics and logs. A caller may send any name,
// and a metric for each would stay until the process ends.
func (d *Daemon) serviceLabel(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.services[name]; found {
		return name
	}
	return unknownService
}
