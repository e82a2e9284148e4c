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
		about:  "Shows the hosts, and the targets of each service as their holder sees them.",
		detail: "A target that is not InUse is printed with the cause.",
		flags: []flag{
			adminFlag(&admins),
			textFlag("service", &service, "", "only this service"),
			switchFlag("json", &asJSON, "print JSON"),
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

func (s streams) printMembers(status *admin.Status) {
	const columns = "%-16s %-14s %-8s %10s %14s\n"
	fmt.Fprintf(s.out, "Hosts as %s sees them (log read %d ms ago):\n", status.Host, status.LogAgeMillis)
	fmt.Fprintf(s.out, columns, "Host", "FailureDomain", "State", "Heard[ms]", "ClockLead[us]")
	for i := range status.Members {
		m := &status.Members[i]
		fmt.Fprintf(s.out, columns, m.Name, m.FailureDomain, m.State, fmt.Sprint(m.HeardMillis), fmt.Sprint(m.ClockLeadMicros))
	}
}

func (s streams) printHeld(status *admin.Status, service string) {
	const columns = "  %-16s %-14s %-10s %8s %6s %9s %9s %9s  %s\n"
	for i := range status.Services {
		held := &status.Services[i]
		if !held.IsHeld || (service != "" && service != held.Name) {
			continue
		}
		fmt.Fprintf(s.out, "\nService %s version %d, held by %s: load %.2f, waiting %d\n", held.Name, held.Version, status.Host, held.Load, held.Waiting)
		fmt.Fprintf(s.out, columns, "Target", "FailureDomain", "State", "InFlight", "Limit", "Reported", "Heard[ms]", "Last[us]", "Cause")
		for j := range held.Targets {
			t := &held.Targets[j]
			fmt.Fprintf(s.out, columns, t.Name, t.FailureDomain, t.State, fmt.Sprint(t.InFlight), fmt.Sprint(t.Limit),
				fmt.Sprintf("%d+%d", t.ReportedRunning, t.ReportedWaiting), fmt.Sprint(t.HeardMillis), fmt.Sprint(t.LastMicros), t.Cause)
		}
	}
}
