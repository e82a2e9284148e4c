package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// Exit codes of the program.
const (
	// ExitDone means success. ExitFailed means a failure that has no code of its own, and
	// ExitBadInput that an argument or a file is not valid.
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadInput = 2
	// ExitRefused means that the change conflicts with the documents in force.
	ExitRefused = 3
	// ExitOutcomeUnknown means that a change may or may not have been made.
	ExitOutcomeUnknown = 4
	// ExitNotInForce means that a document was accepted, but that within the time limit it
	// was not in force on every entry host that is alive or leaving.
	ExitNotInForce = 5
)

// Version is the version of the program that the flag --version prints.
const Version = "0.1.0"

// streams are the outputs of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// flag is a flag of a command. Parsing stores its value at textValue, or true at
// switchValue for a flag that takes no value. The other pointer is nil.
type flag struct {
	name        string
	about       string
	textValue   *string
	switchValue *bool
}

// positional is an argument of a command that is identified by its position.
type positional struct {
	name     string
	about    string
	value    *string
	optional bool
}

// command describes a subcommand of the program, for the parser and for the reference page.
type command struct {
	name        string
	about       string // one sentence, shown in the list of commands
	detail      string // further paragraphs, separated by newlines; may be empty
	flags       []flag
	positionals []positional
	run         func(s streams) int
}

// textFlag returns a flag with a value and stores the default in dest.
func textFlag(name string, dest *string, defaultValue, about string) flag {
	*dest = defaultValue
	return flag{name: name, about: about, textValue: dest}
}

func adminFlag(dest *string) flag {
	return textFlag("admin", dest, "", "admin addresses of one or more entry hosts, separated by commas; the first one that answers lists the other hosts (required)")
}

func switchFlag(name string, dest *bool, about string) flag {
	return flag{name: name, about: about, switchValue: dest}
}

func commands() []*command {
	return []*command{entryCommand(), checkCommand(), publishCommand(), recoverCommand(), showCommand(), statusCommand(), explainCommand(), timelineCommand(), referenceCommand()}
}

// Run runs the command that the first argument names and returns its exit code. The
// arguments don't include the name of the program.
func Run(args []string) int {
	s := streams{out: os.Stdout, err: os.Stderr}
	if len(args) > 0 && args[0] == entryName {
		// SIGHUP ends a process by default. It is ignored until the daemon handles it.
		signal.Ignore(syscall.SIGHUP)
	}
	parser := flaggy.NewParser("curranttiller")
	parser.Description = "Load balancer for servers whose load changes within milliseconds."
	parser.Version = Version
	parser.ShowHelpOnUnexpected = true
	all := commands()
	subcommands := make([]*flaggy.Subcommand, 0, len(all))
	for _, c := range all {
		sub := newSubcommand(c)
		parser.AttachSubcommand(sub, 1)
		subcommands = append(subcommands, sub)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(s.err, err)
		return ExitBadInput
	}
	for i, sub := range subcommands {
		if sub.Used {
			return all[i].run(s)
		}
	}
	parser.ShowHelp()
	return ExitBadInput
}

// newSubcommand returns the parser's description of a command.
func newSubcommand(c *command) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.about
	sub.AdditionalHelpAppend = "\n" + c.detail
	for _, f := range c.flags {
		if f.switchValue != nil {
			sub.Bool(f.switchValue, "", f.name, f.about)
		} else {
			sub.String(f.textValue, "", f.name, f.about)
		}
	}
	for i, p := range c.positionals {
		sub.AddPositionalValue(p.value, p.name, i+1, !p.optional, p.about)
	}
	return sub
}

// fail prints an error to s.err and returns its exit code, which is ExitBadInput if a
// document or settings file is not valid, and ExitFailed otherwise.
func (s streams) fail(err error) int {
	fmt.Fprintln(s.err, "error:", err)
	var field *spec.FieldError
	var file *badFileError
	if errors.As(err, &field) || errors.As(err, &file) {
		return ExitBadInput
	}
	return ExitFailed
}

// splitList splits a list at commas, trims spaces around the items and drops empty items.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(item); trimmed != "" {
			items = append(items, trimmed)
		}
	}
	return items
}
