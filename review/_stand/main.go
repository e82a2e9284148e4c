package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// environment is what a case gets from main.
type environment struct {
	program string
	record  *recorder
	// trouble is false if the case has to run without its disruption.
	trouble bool
}

// cases maps the names of the cases to their functions, which report whether the rule
// was broken. An error means that the case could not run.
var cases = map[string]func(env *environment) (isBroken bool, err error){
	"hedged-body":   runHedgedBody,
	"extra-answer":  runExtraAnswer,
	"encoded-slash": runEncodedSlash,
	"queued-stop":   runQueuedStop,
	"second-stop":   runSecondStop,
	"empty-query":   runEmptyQuery,
	"other-writer":  runOtherWriter,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		return exitNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	env := &environment{program: program, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.add("case %s, disruption %t", os.Args[1], env.trouble)
	stopOnSignal(record)
	isBroken, err := cases[os.Args[1]](env)
	switch {
	case err != nil:
		record.add("result: the case could not run: %v", err)
		return exitNotRun
	case isBroken:
		record.add("result: the rule was broken")
		return exitBroken
	default:
		record.add("result: the rule held")
		return exitHeld
	}
}

// stopOnSignal ends all processes and the program at SIGTERM or SIGINT, and when the case
// takes too long.
func stopOnSignal(record *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			record.add("result: the case was stopped by a signal")
		case <-time.After(caseTimeout):
			record.add("result: the case took longer than %s", caseTimeout)
		}
		started.killAll()
		record.close()
		os.Exit(exitNotRun)
	}()
}
