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

// standins are the commands that take the place of an outside system.
func (o *options) standins() []command {
	return []command{
		{
			name: "platform", description: "Runs a platform: a log and a list of hosts.", run: o.runPlatform,
			textFlags: []textFlag{{"listen", "address", &o.listen}},
			intFlags: []intFlag{
				{"retention-millis", "how long records are kept, in ms", &o.retentionMillis},
				{"list-lag-millis", "how late the host list is, in ms", &o.listLagMillis},
				{"appends-per-second", "appends allowed a second", &o.appendsPerSecond},
			},
		},
		{
			name: "target", description: "Runs the targets of a service.", run: o.runTargets,
			textFlags: []textFlag{{"targets", "NAME=ADDRESS values separated by commas", &o.targets}},
			intFlags: []intFlag{
				{"slots", "requests that a target works on at once", &o.slots},
				{"waiting", "requests that may wait at a target", &o.maxQueueLength},
				{"probe-millis", "slot time of a probe, in ms", &o.probeMillis},
				{"connections", "connections allowed to a target; 0 means any number", &o.maxConnections},
			},
		},
		{
			name: "proxy", description: "Runs a fault-injecting TCP proxy.", run: o.runProxy,
			textFlags: []textFlag{
				{"control", "address that takes faults as JSON", &o.control},
				{"routes", "file with NAME=LISTEN>DESTINATION lines", &o.routes},
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
		return eris.Wrap(err, "reading the routes")
	}
	p := tamper.New()
	for line := range strings.Lines(string(text)) {
		name, way, _ := strings.Cut(strings.TrimSpace(line), "=")
		from, to, _ := strings.Cut(way, ">")
		listener, err := listen(ctx, from)
		if err != nil {
			return err
		}
		p.Add(name, listener, to)
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
