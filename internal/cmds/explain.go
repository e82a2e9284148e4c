package cmds

import (
	"context"
	"fmt"
	"net/url"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
)

func explainCommand() *command {
	var address, callerHost, path, organisation string
	var asJSON bool
	return &command{
		name:   "explain",
		about:  "Explains what an entry host would do with a request now, without sending it.",
		detail: "For each service of the route, it names the target that would get the request, or why the request would wait or be refused, and lists all targets with their estimates and why they are passed over. Times are in ms. The cost of a target is the expected latency times a penalty for errors and other disadvantages. Allotments are not part of the explanation, and only services under the policy Speed are explained.",
		flags: []flag{
			textFlag("admin", &address, "", "admin address of the entry host (required)"),
			textFlag("organisation", &organisation, "", "name of the caller's organisation"),
			switchFlag("json", &asJSON, "print JSON instead of tables"),
		},
		positionals: []positional{
			{name: "host", about: "host name that the caller asks for", value: &callerHost},
			{name: "path", about: "path of the request", value: &path},
		},
		run: func(s streams) int {
			query := url.Values{"host": {callerHost}, "path": {path}, "organisation": {organisation}}
			answer, err := fetch[admin.Explanation](context.Background(), address, "/tiller/explain?"+query.Encode())
			if err != nil {
				return s.fail(err)
			}
			if asJSON {
				return s.printJSON(answer)
			}
			s.printExplanation(&answer)
			return ExitDone
		},
	}
}

func (s streams) printExplanation(e *admin.Explanation) {
	if e.Refusal != "" {
		fmt.Fprintf(s.out, "%s refuses the request: %s\n", e.Host, e.Refusal)
		return
	}
	fmt.Fprintf(s.out, "Route %s at %s: idempotent %v, rank of the organisation %d, of the route %d, objective %.0f ms, time limit %.0f ms, configuration at most %.0f ms old\n",
		e.Route, e.Host, e.Idempotent, e.OrganisationPriority, e.Priority, e.ObjectiveMillis, e.TimeLimitMillis, e.ConfigurationAgeMillis)
	for i := range e.Services {
		s.printServiceExplanation(&e.Services[i])
	}
}

func (s streams) printServiceExplanation(e *admin.ServiceExplanation) {
	outcome := "goes to " + e.Target
	switch {
	case e.Refusal != "":
		outcome = fmt.Sprintf("is refused: %s, return after %.0f ms", e.Refusal, e.RetryAfterMillis)
	case e.WaitReason != "":
		outcome = "waits: " + e.WaitReason
	}
	fmt.Fprintf(s.out, "\nService %s, weight %g: the request %s. Share %s, %d requests before it, expected wait %.1f ms, work %.1f ms\n",
		e.Service, e.Weight, outcome, e.Standing, e.WaitingBefore, e.QueueingDelayMillis, e.WorkMillis)
	const columns = "  %-16s %-14s %-12s %8s %8s %9s %10s %12s %8s\n"
	fmt.Fprintf(s.out, columns, "Target", "FailureDomain", "PassedOver", "Occupied", "Slowdown", "Age[ms]", "Heard[ms]", "Expected[ms]", "Cost")
	for i := range e.Targets {
		t := &e.Targets[i]
		fmt.Fprintf(s.out, columns, t.Name, t.FailureDomain, t.PassedOver, fmt.Sprintf("%d/%d", t.Occupied, t.Slots), fmt.Sprintf("%.2f", t.Slowdown),
			fmt.Sprintf("%.0f", t.SlowdownAgeMillis), fmt.Sprintf("%.0f", t.ReportAgeMillis), fmt.Sprintf("%.1f", t.ExpectedMillis), fmt.Sprintf("%.1f", t.Cost))
	}
}
