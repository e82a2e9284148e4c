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
	ExitDone           = 0
	ExitFailed         = 1
	ExitBadInput       = 2
	ExitRefused        = 3
	ExitOutcomeUnknown = 4
	ExitNotInForce     = 5
)

// Version is the version of the program.
const Version = "0.1.0"

// streams are where a command writes to.
type streams struct {
	out io.Writer
	err io.Writer
}

// flag is one flag of a command.
type flag struct {
	name        string
	about       string
	textValue   *string
	switchValue *bool
}

// positional is one argument of a command.
type positional struct {
	name     string
	about    string
	value    *string
	optional bool
}

// command is one subcommand.
type command struct {
	name        string
	about       string
	detail      string
	flags       []flag
	positionals []positional
	run         func(s streams) int
}

func textFlag(name string, into *string, value, about string) flag {
	*into = value
	return flag{name: name, about: about, textValue: into}
}

func adminFlag(into *string) flag {
	return textFlag("admin", into, "", "admin addresses of some entry hosts, separated by commas (required)")
}

func switchFlag(name string, into *bool, about string) flag {
	return flag{name: name, about: about, switchValue: into}
}

func commands() []*command {
	return []*command{entryCommand(), checkCommand(), publishCommand(), recoverCommand(), showCommand(), statusCommand(), timelineCommand(), referenceCommand()}
}

// Run parses the arguments, runs a command and returns its exit code.
func Run(args []string) int {
	s := streams{out: os.Stdout, err: os.Stderr}
	if len(args) > 0 && args[0] == entryName {
		// Until the daemon listens for it, changed settings must not end it.
		signal.Ignore(syscall.SIGHUP)
	}
	parser := flaggy.NewParser("curranttiller")
	parser.Description = "Load balancer for servers whose load shifts in milliseconds."
	parser.Version = Version
	parser.ShowHelpOnUnexpected = true
	all := commands()
	attached := make([]*flaggy.Subcommand, 0, len(all))
	for _, c := range all {
		sub := attach(c)
		parser.AttachSubcommand(sub, 1)
		attached = append(attached, sub)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(s.err, err)
		return ExitBadInput
	}
	for i, sub := range attached {
		if sub.Used {
			return all[i].run(s)
		}
	}
	parser.ShowHelp()
	return ExitBadInput
}

func attach(c *command) *flaggy.Subcommand {
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

// fail prints an error and returns the exit code for it.
func (s streams) fail(err error) int {
	fmt.Fprintln(s.err, "error:", err)
	var field *spec.FieldError
	if errors.As(err, &field) {
		return ExitBadInput
	}
	return ExitFailed
}

func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(item); trimmed != "" {
			items = append(items, trimmed)
		}
	}
	return items
}
