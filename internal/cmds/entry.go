package cmds

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/entry"
	"gitlab.com/curranttiller/curranttiller/internal/front"
	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/platform"
)

const (
	// leaveTimeout is the time limit for notifying the other entry hosts of the stop.
	leaveTimeout = time.Second
	// settingsVariable is the environment variable with the path of the settings file, used
	// if there is no argument.
	settingsVariable = "CURRANTTILLER_CONFIG"
)

// entryName is the name of the command that runs the daemon.
const entryName = "entry"

func entryCommand() *command {
	var path string
	return &command{
		name:        entryName,
		about:       "Runs the daemon of an entry host until SIGTERM.",
		detail:      "On SIGTERM or SIGINT the host removes itself from the directory, accepts requests as long as callers may still use its address, waits a limited time for the requests in flight and exits with code 0. It refuses requests that are not expected to end in that time, and answers those that did not with an error. If one of these signals arrives again while the host still accepts requests, the host cuts the requests in flight and stops. On SIGHUP the host reads the settings file again and logs whether it is valid. Changed settings apply from the next start. Without an argument, the environment variable " + settingsVariable + " gives the path of the settings file.",
		positionals: []positional{{name: "settings", about: "INI file with the settings of the host; see docs/SETTINGS.md", value: &path, optional: true}},
		run: func(s streams) int {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			settings, err := config.Load(path)
			if err != nil {
				return s.fail(err)
			}
			if err := runEntry(s, path, &settings); err != nil {
				return s.fail(err)
			}
			return ExitDone
		},
	}
}

// callerServer serves the requests of callers.
type callerServer interface {
	// Leave marks all later answers so that callers move to other entry hosts. It does
	// nothing if the protocol has no such mark.
	Leave()
	// Close stops accepting connections and waits at most until end for the requests in
	// flight. The rest are answered with an error.
	Close(end time.Time)
}

// servers are the servers of an entry host, for callers, for other entry hosts and for
// operators.
type servers struct {
	callers callerServer
	peers   *peer.Server
	admin   *admin.Server
}

// gcPercent makes the garbage collector run more often than with the default of 100. Most
// entry hosts serve few requests, so saving memory matters more there than the processor
// time of the collector.
const gcPercent = 40

// memoryLimitShare is the part of the memory of the process above which the garbage
// collector works harder.
const memoryLimitShare = 0.75

// runEntry runs the daemon until a stop signal.
func runEntry(s streams, path string, settings *config.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB<<20)))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	output := logs.NewQueue(logOutput(s, settings), time.Now)
	defer output.Close()
	loggers, err := logs.New(output, settings.Name, settings.LogLevels)
	if err != nil {
		return err
	}
	// Lines that libraries write through package log get the subsystem target and the level
	// debug, so that they are not logged by default. Such a line of net/http may quote bytes
	// that arrived on an idle connection and belong to no request. These bytes may be data
	// of an organisation.
	slog.SetLogLoggerLevel(slog.LevelDebug)
	slog.SetDefault(loggers.For("target"))
	daemon := entry.New(settings, newAdapter(settings), loggers, time.Now())
	opened, err := openServers(settings, daemon, loggers)
	if err != nil {
		return err
	}
	if err := daemon.Start(); err != nil {
		return err
	}
	waitForStopSignal(path, loggers, signals)
	stopEntry(settings, daemon, opened, signals)
	return nil
}

// logOutput returns the output for the log. A platform with a store collects logs from the
// standard output. On other platforms it is the standard error.
func logOutput(s streams, settings *config.Settings) io.Writer {
	if settings.PlatformForm == config.FormStore {
		return s.out
	}
	return s.err
}

func newAdapter(settings *config.Settings) entry.Adapter {
	if settings.PlatformForm == config.FormStore {
		return platform.NewAdapter(settings)
	}
	return entry.NativeAdapter()
}

// waitForStopSignal returns at the first SIGTERM or SIGINT. Until then it checks the
// settings file at each SIGHUP.
func waitForStopSignal(path string, loggers *logs.Set, signals <-chan os.Signal) {
	log := loggers.For("entry")
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		if _, err := config.Load(path); err != nil {
			log.Error("checking the settings file after SIGHUP failed; the current settings stay in use", "Error", err.Error())
			continue
		}
		log.Info("settings file is valid after SIGHUP; changed settings apply from the next start")
	}
}

// openServers opens all servers of the host. After an error some of them may be open.
func openServers(settings *config.Settings, daemon *entry.Daemon, loggers *logs.Set) (*servers, error) {
	ctx := context.Background()
	operatorGate := gate.New("admin", gate.NewAdminLimits(settings), daemon.Metrics(), loggers.For("entry"))
	peerGate := gate.New("peer", gate.NewPeerLimits(settings), daemon.Metrics(), loggers.For("peer"))
	opened := &servers{
		peers: peer.NewServer(daemon, peerGate, daemon.ControlBytes()),
		admin: admin.NewServer(settings.Name, entry.AdminView{Daemon: daemon}, operatorGate, settings.Pprof == "On"),
	}
	callers, err := openCallerServer(ctx, settings, daemon, loggers)
	if err != nil {
		return nil, err
	}
	opened.callers = callers
	peers, err := front.Listen(ctx, settings.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listening for other entry hosts on the peer address")
	}
	operators, err := front.Listen(ctx, settings.AdminAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listening for operators on the admin address")
	}
	opened.peers.Start(peers)
	opened.admin.Start(operators)
	return opened, nil
}

func openCallerServer(ctx context.Context, settings *config.Settings, daemon *entry.Daemon, loggers *logs.Set) (callerServer, error) {
	if settings.PlatformForm == config.FormStore {
		server := platform.NewServer(daemon, settings, loggers.For("front"))
		return server, server.Open(ctx)
	}
	limits := front.Limits{
		Deadline:    settings.DeadlineAtMost,
		BodyBytes:   int64(settings.BodyBytesAtMost),
		HeadBytes:   settings.HeadBytesAtMost,
		HeadTimeout: settings.HeadTimeout,
	}
	callers := gate.New("caller", gate.NewCallerLimits(settings), daemon.Metrics(), loggers.For("front"))
	server := front.NewServer(daemon, limits, callers, loggers.For("front"))
	listener, err := front.Listen(ctx, settings.CallerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listening for callers on the caller address")
	}
	server.Start(listener)
	return server, nil
}

// stopEntry stops the host without losing requests. It first removes the host from
// directory answers. It then accepts requests for the hold time, because callers may still
// use cached answers that name the host, and at last waits for the requests in flight. It
// refuses requests that would outlast the stop.
func stopEntry(settings *config.Settings, daemon *entry.Daemon, opened *servers, signals <-chan os.Signal) {
	stopStart := time.Now()
	takesUntil := stopStart.Add(daemon.HoldTime())
	endsAt := takesUntil.Add(settings.DeadlineAtMost)
	peersWait := settings.DeadlineAtMost
	if settings.PlatformForm == config.FormStore {
		endsAt = stopStart.Add(settings.StopTimeout)
		peersWait = peerCloseTimeout
	}
	daemon.PlanStop(takesUntil, endsAt)
	opened.callers.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	daemon.Leave(ctx)
	cancel()
	waitHoldTime(time.Until(takesUntil), opened, signals)
	opened.callers.Close(endsAt)
	opened.peers.Close(peersWait)
	daemon.Close()
	opened.admin.Close()
}

// peerCloseTimeout is how long a stopping host on a platform with a store waits for calls
// in flight from other entry hosts, after it has waited for the requests of callers.
const peerCloseTimeout = 100 * time.Millisecond

// waitHoldTime waits for the hold time, during which the host still accepts requests.
// At a further SIGTERM or SIGINT it cuts the requests of callers in flight and returns.
func waitHoldTime(holdTime time.Duration, opened *servers, signals <-chan os.Signal) {
	expired := time.After(max(holdTime, 0))
	for {
		select {
		case <-expired:
			return
		case received := <-signals:
			if received == syscall.SIGHUP {
				continue
			}
			fmt.Fprintln(os.Stderr, "second stop signal received; cutting requests in flight")
			opened.callers.Close(time.Now())
			return
		}
	}
}
