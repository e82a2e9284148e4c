package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

const (
	exitFailed   = 1
	exitBadInput = 2
)

// options holds the flag values of all commands.
type options struct {
	listen, control, routes, targets, program         string
	conditionPrefix, policies, resultsFolder, journal string

	retentionMillis, listLagMillis, appendsPerSecond   int
	slots, maxQueueLength, probeMillis, maxConnections int
	hosts, seconds, workMillis, targetCount            int
	seed, rate, scaleHosts                             int

	// self is the path of this binary, which starts the stand-ins of a fleet.
	self string
}

func defaults() *options {
	return &options{
		retentionMillis: 3_600_000, appendsPerSecond: 500, slots: 4, maxQueueLength: 1000, probeMillis: 6,
		hosts: 13, seconds: 8, workMillis: 20, targetCount: 15, rate: 200, seed: 1,
		resultsFolder: "out", journal: "journal", program: "bin/curranttiller",
	}
}

// intFlag is a numeric flag of a command.
type intFlag struct {
	name, description string
	value             *int
}

// textFlag is a flag of a command that takes text.
type textFlag struct {
	name, description string
	value             *string
}

// command is a subcommand of the standin program.
type command struct {
	name, description string
	intFlags          []intFlag
	textFlags         []textFlag
	run               func(ctx context.Context) error
}

func (c *command) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.description
	for _, f := range c.textFlags {
		sub.String(f.value, "", f.name, f.description)
	}
	for _, f := range c.intFlags {
		sub.Int(f.value, "", f.name, f.description)
	}
	parser.AttachSubcommand(sub, 1)
	return sub
}

// Run parses the arguments, runs the command that they name and returns the exit code: 0 for success, 1 if
// the command failed and 2 for invalid arguments or a missing command.
func Run(args []string) int {
	o := defaults()
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the systems around curranttiller, and tools that test and measure it."
	commands := append(o.standins(), o.tools()...)
	attached := make([]*flaggy.Subcommand, 0, len(commands))
	for i := range commands {
		attached = append(attached, commands[i].attach(parser))
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	for i, sub := range attached {
		if sub.Used {
			return o.runCommand(&commands[i])
		}
	}
	parser.ShowHelp()
	return exitBadInput
}

func (o *options) runCommand(c *command) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	self, err := os.Executable()
	if err == nil {
		o.self = self
		err = c.run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	return 0
}
