package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
)

func showCommand() *command {
	var admins, service string
	var asJSON, withText bool
	return &command{
		name:   "show",
		about:  "Lists the documents that each entry host has, with their versions.",
		detail: "InForce is Yes if the host applies the version to requests.",
		flags: []flag{
			adminFlag(&admins),
			textFlag("service", &service, "", "only the document of this service; has no effect with --json"),
			switchFlag("text", &withText, "also print the text of the first document in the table; use it with --service; has no effect with --json"),
			switchFlag("json", &asJSON, "print JSON instead of a table"),
		},
		run: func(s streams) int {
			ctx := context.Background()
			addresses, _, err := discover(ctx, splitList(admins))
			if err != nil {
				return s.fail(err)
			}
			answers := fetchAll[admin.Documents](ctx, addresses, "/tiller/documents")
			if asJSON {
				return s.printJSON(successfulAnswers(answers))
			}
			return s.printDocuments(answers, service, withText)
		},
	}
}

// printJSON prints a value as indented JSON and returns the exit code.
func (s streams) printJSON(value any) int {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(err)
	}
	return ExitDone
}

// successfulAnswers returns the decoded answers, without the hosts whose request failed.
func successfulAnswers[T any](answers []hostAnswer[T]) []T {
	var successful []T
	for i := range answers {
		if answers[i].err == nil {
			successful = append(successful, answers[i].answer)
		}
	}
	return successful
}

// printDocuments prints a table of the documents of one service, or of all services if
// service is empty. If withText is set, it also prints the text of the first document in
// the table. It returns ExitFailed if a host did not answer.
func (s streams) printDocuments(answers []hostAnswer[admin.Documents], service string, withText bool) int {
	const columns = "%-16s %-20s %-10s %-8s %s\n"
	fmt.Fprintf(s.out, columns, "Host", "Service", "Version", "InForce", "Author")
	code := ExitDone
	var text string
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			fmt.Fprintf(s.err, "no documents from entry host %s: %v\n", a.address, a.err)
			code = ExitFailed
			continue
		}
		for _, document := range a.answer.Known {
			if service != "" && service != document.Service {
				continue
			}
			fmt.Fprintf(s.out, columns, a.answer.Host, document.Service, fmt.Sprint(document.Version), yesNo(document.InForce), document.Author)
			if text == "" {
				text = document.Text
			}
		}
	}
	if withText {
		fmt.Fprintf(s.out, "\n%s\n", strings.TrimSpace(text))
	}
	return code
}

func yesNo(value bool) string {
	if value {
		return "Yes"
	}
	return "No"
}
