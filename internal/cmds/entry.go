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
	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/platform"
)

const (
	// leaveTimeout bounds the time to tell the other hosts of a stop.
	leaveTimeout = time.Second
	// settingsVariable names the settings file if no argument does.
	settingsVariable = "CURRANTTILLER_CONFIG"
)

// entryName is the command that runs the daemon.
const entryName = "entry"

func entryCommand() *command {
	var path string
	return &command{
		name:        entryName,
		about:       "Runs the daemon of an entry host until SIGTERM.",
		detail:      "On SIGTERM or SIGINT the host leaves the directory, serves for the hold time of its answers, finishes what is in flight and exits 0. A second signal ends it at once. SIGHUP reads the settings again and logs whether they are valid; addresses and limits change at the next start. Without an argument, " + settingsVariable + " names the settings.",
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

// callerServer is where callers connect.
type callerServer interface {
	// Leave asks callers to look for another host.
	Leave()
	// Close waits up to wait for requests in flight and cuts the rest.
	Close(wait time.Duration)
}

// servers are the listening servers of a daemon.
type servers struct {
	callers callerServer
	peers   *peer.Server
	admin   *admin.Server
}

// gcPercent makes the garbage collector run more often than by default: most
// hosts rest, and their memory costs more than the time to collect it.
const gcPercent = 40

func runEntry(s streams, path string, settings *config.Settings) error {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	output := logs.NewQueue(logOutput(s, settings), time.Now)
	defer output.Close()
	loggers, err := logs.New(output, settings.Name, settings.LogLevels)
	if err != nil {
		return err
	}
	// Libraries report to the standard logger; net/http quotes bytes there that belong to no request, and may be a customer's.
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

// logOutput is standard output on a platform that collects it from there.
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

// waitForStopSignal returns at the first signal to stop.
func waitForStopSignal(path string, loggers *logs.Set, signals <-chan os.Signal) {
	log := loggers.For("entry")
	for got := range signals {
		if got != syscall.SIGHUP {
			return
		}
		if _, err := config.Load(path); err != nil {
			log.Error("settings were read again and are refused; the old ones stay", "Error", err.Error())
			continue
		}
		log.Info("settings were read again and are valid; they count from the next start")
	}
}

func openServers(settings *config.Settings, daemon *entry.Daemon, loggers *logs.Set) (*servers, error) {
	ctx := context.Background()
	opened := &servers{
		peers: peer.NewServer(daemon, daemon.ControlBytes()),
		admin: admin.NewServer(settings.Name, entry.AdminView{Daemon: daemon}, settings.Pprof == "On"),
	}
	callers, err := openCallerServer(ctx, settings, daemon, loggers)
	if err != nil {
		return nil, err
	}
	opened.callers = callers
	peers, err := front.Listen(ctx, settings.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the peer address")
	}
	operators, err := front.Listen(ctx, settings.AdminAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the admin address")
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
	limits := front.Limits{Deadline: settings.DeadlineAtMost, BodyBytes: int64(settings.BodyBytesAtMost)}
	server := front.NewServer(daemon, limits, loggers.For("front"))
	listener, err := front.Listen(ctx, settings.CallerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the caller address")
	}
	server.Start(listener)
	return server, nil
}

// stopEntry leaves in the order that loses nothing: out of the answers first,
// then the hold time, then the requests in flight.
func stopEntry(settings *config.Settings, daemon *entry.Daemon, opened *servers, signals <-chan os.Signal) {
	stopped := time.Now()
	opened.callers.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	daemon.Leave(ctx)
	cancel()
	waitHoldTime(daemon.HoldTime()-time.Since(stopped), opened, signals)
	within := settings.DeadlineAtMost
	if settings.PlatformForm == config.FormStore {
		within = settings.StopTimeout - time.Since(stopped)
	}
	opened.callers.Close(within)
	if settings.PlatformForm == config.FormStore {
		within = peerCloseTimeout
	}
	opened.peers.Close(within)
	daemon.Close()
	opened.admin.Close()
}

// peerCloseTimeout bounds the wait for calls of other hosts at a stop on a platform with a store.
const peerCloseTimeout = 100 * time.Millisecond

// waitHoldTime waits for the hold time or for a second signal to stop.
func waitHoldTime(hold time.Duration, opened *servers, signals <-chan os.Signal) {
	over := time.After(max(hold, 0))
	for {
		select {
		case <-over:
			return
		case got := <-signals:
			if got == syscall.SIGHUP {
				continue
			}
			fmt.Fprintln(os.Stderr, "second signal: stopping at once")
			opened.callers.Close(0)
			return
		}
	}
}
