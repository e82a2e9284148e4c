package cmds

import (
	"context"
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/stand/platf"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/internal/stand/tamper"
)

// standins returns the commands that simulate a system around the load balancer.
func (o *options) standins() []command {
	return []command{
		{
			name: "platform", description: "Runs a stand-in for the platform, with a log and a host list.", run: o.runPlatform,
			textFlags: []textFlag{{"listen", "address to listen on, HOST:PORT", &o.listen}},
			intFlags: []intFlag{
				{"retention-millis", "retention of log records, in ms", &o.retentionMillis},
				{"list-lag-millis", "delay before a change of the host list becomes visible, in ms", &o.listLagMillis},
				{"appends-per-second", "appends to the log allowed per second", &o.appendsPerSecond},
			},
		},
		{
			name: "target", description: "Runs simulated targets of a service.", run: o.runTargets,
			textFlags: []textFlag{{"targets", "targets to run, as NAME=ADDRESS separated by commas, where ADDRESS is the HOST:PORT to listen on", &o.targets}},
			intFlags: []intFlag{
				{"slots", "requests that each target processes at once", &o.slots},
				{"waiting", "requests that may wait in the queue of each target", &o.maxQueueLength},
				{"probe-millis", "slot time that a probe takes, in ms", &o.probeMillis},
				{"connections", "connections allowed to each target (0 means no limit)", &o.maxConnections},
			},
		},
		{
			name: "proxy", description: "Runs a TCP proxy that injects faults.", run: o.runProxy,
			textFlags: []textFlag{
				{"control", "HOST:PORT on which to accept faults as JSON over HTTP", &o.control},
				{"routes", "file with one route per line, as NAME=LISTEN>DESTINATION with two addresses HOST:PORT", &o.routes},
			},
		},
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, eris.Wrapf(err, "listening on %s", address)
}

func (o *options) runPlatform(ctx context.Context) error {
	listener, err := listen(ctx, o.listen)
	if err != nil {
		return err
	}
	p := platf.Start(listener, platf.Options{
		Retention:        time.Duration(o.retentionMillis) * time.Millisecond,
		AppendsPerSecond: o.appendsPerSecond,
		ListLag:          time.Duration(o.listLagMillis) * time.Millisecond,
	})
	<-ctx.Done()
	p.Close()
	return nil
}

func (o *options) runTargets(ctx context.Context) error {
	var targets []*server.Target
	for item := range strings.SplitSeq(o.targets, ",") {
		name, address, _ := strings.Cut(item, "=")
		listener, err := listen(ctx, address)
		if err != nil {
			return err
		}
		targets = append(targets, server.Start(listener, server.Options{
			Name: name, Slots: o.slots, MaxQueueLength: o.maxQueueLength,
			ProbeServiceTime: time.Duration(o.probeMillis) * time.Millisecond, MaxConnections: o.maxConnections,
		}))
	}
	<-ctx.Done()
	for _, t := range targets {
		t.Close()
	}
	return nil
}

func (o *options) runProxy(ctx context.Context) error {
	text, err := os.ReadFile(o.routes)
	if err != nil {
		return eris.Wrap(err, "reading the routes file")
	}
	p := tamper.New()
	for line := range strings.Lines(string(text)) {
		name, addresses, _ := strings.Cut(strings.TrimSpace(line), "=")
		listenAddress, destination, _ := strings.Cut(addresses, ">")
		listener, err := listen(ctx, listenAddress)
		if err != nil {
			return err
		}
		p.Add(name, listener, destination)
	}
	control, err := listen(ctx, o.control)
	if err != nil {
		return err
	}
	go func() { _ = p.ServeControl(control) }()
	<-ctx.Done()
	_ = control.Close()
	p.Close()
	return nil
}
