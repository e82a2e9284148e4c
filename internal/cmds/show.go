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
		name:  "show",
		about: "Shows the documents in force and their versions, per entry host.",
		flags: []flag{
			adminFlag(&admins),
			textFlag("service", &service, "", "only this service"),
			switchFlag("text", &withText, "print the text of the document as the first host knows it"),
			switchFlag("json", &asJSON, "print JSON"),
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

// printJSON prints a value for programs.
func (s streams) printJSON(value any) int {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(err)
	}
	return ExitDone
}

func successfulAnswers[T any](answers []hostAnswer[T]) []T {
	var good []T
	for i := range answers {
		if answers[i].err == nil {
			good = append(good, answers[i].answer)
		}
	}
	return good
}

func (s streams) printDocuments(answers []hostAnswer[admin.Documents], service string, withText bool) int {
	const columns = "%-16s %-20s %-10s %-8s %s\n"
	fmt.Fprintf(s.out, columns, "Host", "Service", "Version", "InForce", "Author")
	code := ExitDone
	var text string
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			fmt.Fprintf(s.err, "host %s did not answer: %v\n", a.address, a.err)
			code = ExitFailed
			continue
		}
		for _, known := range a.answer.Known {
			if service != "" && service != known.Service {
				continue
			}
			fmt.Fprintf(s.out, columns, a.answer.Host, known.Service, fmt.Sprint(known.Version), yesNo(known.InForce), known.Author)
			if text == "" {
				text = known.Text
			}
		}
	}
	if withText {
		fmt.Fprintf(s.out, "\n%s\n", strings.TrimSpace(text))
	}
	return code
}

func yesNo(is bool) string {
	if is {
		return "Yes"
	}
	return "No"
}
