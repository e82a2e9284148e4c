package cmds

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
)

func timelineCommand() *command {
	var admins, since, until string
	var filter event.Filter
	var asJSON bool
	return &command{
		name:   "timeline",
		about:  "Prints the events of all entry hosts, ordered by time.",
		detail: "Times are converted to the clock of the first entry host that answers. The clock offsets between hosts are estimated from heartbeats. Hosts that don't answer are left out.",
		flags: []flag{
			adminFlag(&admins),
			textFlag("request", &filter.Request, "", "only events of this request ID"),
			textFlag("service", &filter.Service, "", "only events of this service"),
			textFlag("target", &filter.Target, "", "only events of this target"),
			textFlag("kind", &filter.Kind, "", "only events whose kind begins with this text"),
			textFlag("since", &since, "", "only events at or after this time (RFC 3339)"),
			textFlag("until", &until, "", "only events at or before this time (RFC 3339)"),
			switchFlag("json", &asJSON, "print one JSON object per line"),
		},
		run: func(s streams) int {
			var err error
			if filter.Since, err = parseTime(since); err != nil {
				return s.failTime("since", since)
			}
			if filter.Until, err = parseTime(until); err != nil {
				return s.failTime("until", until)
			}
			return s.timeline(splitList(admins), filter, asJSON)
		},
	}
}

// parseTime parses a time in the format RFC 3339. It returns the zero time for an empty text.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// failTime prints the error for a flag whose value is not a valid time, and returns the exit code.
func (s streams) failTime(name, value string) int {
	fmt.Fprintf(s.err, "error: --%s %q: allowed: a time such as 2026-12-04T05:30:00.5Z\n", name, value)
	return ExitBadInput
}

// timeline prints the events that match the filter and returns the exit code. The hosts
// apply the filter without its times, which are compared here after all times have been
// converted to one clock.
func (s streams) timeline(admins []string, filter event.Filter, asJSON bool) int {
	ctx := context.Background()
	addresses, first, err := discover(ctx, admins)
	if err != nil {
		return s.fail(err)
	}
	// A clock lead is the time on a host's clock minus that on the clock of the first host.
	clockLeads := make(map[string]time.Duration)
	for i := range first.Members {
		clockLeads[first.Members[i].Name] = time.Duration(first.Members[i].ClockLeadMicros) * time.Microsecond
	}
	query := url.Values{"service": {filter.Service}, "target": {filter.Target}, "request": {filter.Request}, "kind": {filter.Kind}}
	answers := successfulAnswers(fetchAll[admin.Events](ctx, addresses, "/tiller/events?"+query.Encode()))
	hosts := make([]event.HostEvents, 0, len(answers))
	for i := range answers {
		hosts = append(hosts, event.HostEvents{Events: answers[i].Events, ClockLead: clockLeads[answers[i].Host]})
	}
	for _, e := range event.Merge(hosts) {
		if filter.Matches(&e) {
			s.printEvent(&e, asJSON)
		}
	}
	return ExitDone
}

func (s streams) printEvent(e *event.Event, asJSON bool) {
	if asJSON {
		_ = printJSONLine(s.out, e)
		return
	}
	fmt.Fprintf(s.out, "%s  %-10s %-17s %-14s %-12s %-26s %s\n",
		e.Time.UTC().Format("15:04:05.000000"), e.Host, e.Kind, e.Service, e.Target, e.Request, e.Cause)
}
