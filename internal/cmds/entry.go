package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/entry"
	"gitlab.com/curranttiller/curranttiller/internal/front"
	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/internal/peer"
)

// leaveTimeout bounds the time to tell the other hosts of a stop.
const leaveTimeout = time.Second

func entryCommand() *command {
	var path string
	return &command{
		name:        "entry",
		about:       "Runs the daemon of an entry host until SIGTERM.",
		detail:      "On SIGTERM or SIGINT the host leaves the directory, serves for the hold time of its answers, finishes what is in flight and exits 0. A second signal ends it at once.",
		positionals: []positional{{name: "settings", about: "INI file with the settings of the host; see docs/SETTINGS.md", into: &path}},
		run: func(s streams) int {
			settings, err := config.Load(path)
			if err != nil {
				return s.fail(err)
			}
			if err := runEntry(s, &settings); err != nil {
				return s.fail(err)
			}
			return ExitDone
		},
	}
}

// servers are the listening servers of a daemon.
type servers struct {
	callers *front.Server
	peers   *peer.Server
	admin   *admin.Server
}

func runEntry(s streams, settings *config.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	loggers, err := logs.New(s.err, settings.Name, settings.LogLevels)
	if err != nil {
		return err
	}
	daemon := entry.New(settings, loggers, time.Now())
	opened, err := openServers(settings, daemon, loggers)
	if err != nil {
		return err
	}
	daemon.Start()
	<-signals
	stopEntry(settings, daemon, opened, signals)
	return nil
}

func openServers(settings *config.Settings, daemon *entry.Daemon, loggers *logs.Set) (*servers, error) {
	ctx := context.Background()
	limits := front.Limits{Deadline: settings.DeadlineAtMost, BodyBytes: int64(settings.BodyBytesAtMost)}
	opened := &servers{
		callers: front.NewServer(daemon, limits, loggers.For("front")),
		peers:   peer.NewServer(daemon, daemon.ControlBytes()),
		admin:   admin.NewServer(settings.Name, entry.AdminView{Daemon: daemon}, settings.Pprof == "On"),
	}
	callers, err := front.Listen(ctx, settings.CallerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the caller address")
	}
	peers, err := front.Listen(ctx, settings.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the peer address")
	}
	operators, err := front.Listen(ctx, settings.AdminAddress)
	if err != nil {
		return nil, eris.Wrap(err, "opening the admin address")
	}
	opened.callers.Start(callers)
	opened.peers.Start(peers)
	opened.admin.Start(operators)
	return opened, nil
}

// stopEntry leaves in the order that loses nothing: out of the answers first,
// then the hold time, then the requests in flight.
func stopEntry(settings *config.Settings, daemon *entry.Daemon, opened *servers, signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	daemon.Leave(ctx)
	cancel()
	select {
	case <-time.After(daemon.HoldTime()):
	case <-signals:
		fmt.Fprintln(os.Stderr, "second signal: stopping at once")
		opened.callers.Close(0)
	}
	opened.callers.Close(settings.DeadlineAtMost)
	opened.peers.Close(settings.DeadlineAtMost)
	daemon.Close()
	opened.admin.Close()
}
