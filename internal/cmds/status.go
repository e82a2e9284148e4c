package cmds

import (
	"context"
	"fmt"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
)

func statusCommand() *command {
	var admins, service string
	var asJSON bool
	return &command{
		name:   "status",
		about:  "Shows the state of the entry hosts, and the state of each service's targets according to its holders.",
		detail: "The holders of a service are the entry hosts that send requests to its targets. For an ejected target, the last column gives the cause of the ejection. Holders that don't answer are left out.",
		flags: []flag{
			adminFlag(&admins),
			textFlag("service", &service, "", "only the targets of this service; has no effect with --json"),
			switchFlag("json", &asJSON, "print JSON instead of tables"),
		},
		run: func(s streams) int {
			ctx := context.Background()
			addresses, first, err := discover(ctx, splitList(admins))
			if err != nil {
				return s.fail(err)
			}
			answers := successfulAnswers(fetchAll[admin.Status](ctx, addresses, "/tiller/status"))
			if asJSON {
				return s.printJSON(answers)
			}
			s.printMembers(first)
			for i := range answers {
				s.printHeld(&answers[i], service)
			}
			return ExitDone
		},
	}
}

// printMembers prints the membership table of the entry host that sent the status.
func (s streams) printMembers(status *admin.Status) {
	const columns = "%-16s %-14s %-8s %10s %14s\n"
	fmt.Fprintf(s.out, "Entry hosts according to %s, which read the platform's log %d ms ago:\n", status.Host, status.LogAgeMillis)
	fmt.Fprintf(s.out, columns, "Host", "FailureDomain", "State", "Heard[ms]", "ClockLead[us]")
	for i := range status.Members {
		m := &status.Members[i]
		fmt.Fprintf(s.out, columns, m.Name, m.FailureDomain, m.State, fmt.Sprint(m.HeardMillis), fmt.Sprint(m.ClockLeadMicros))
	}
}

// printHeld prints a table of the targets for each service of which the host is a holder.
// If serviceName is not empty, it prints the table of that service only.
func (s streams) printHeld(status *admin.Status, serviceName string) {
	const columns = "  %-16s %-14s %-10s %8s %6s %9s %9s %9s  %s\n"
	for i := range status.Services {
		service := &status.Services[i]
		if !service.IsHeld || (serviceName != "" && serviceName != service.Name) {
			continue
		}
		fmt.Fprintf(s.out, "\nService %s version %d at its holder %s: load %.2f, %d requests waiting\n", service.Name, service.Version, status.Host, service.Load, service.Waiting)
		fmt.Fprintf(s.out, columns, "Target", "FailureDomain", "State", "InFlight", "Limit", "Reported", "Heard[ms]", "Last[us]", "Cause")
		for j := range service.Targets {
			t := &service.Targets[j]
			fmt.Fprintf(s.out, columns, t.Name, t.FailureDomain, t.State, fmt.Sprint(t.InFlight), fmt.Sprint(t.Limit),
				fmt.Sprintf("%d+%d", t.ReportedRunning, t.ReportedWaiting), fmt.Sprint(t.HeardMillis), fmt.Sprint(t.LastMicros), t.Cause)
		}
	}
}
