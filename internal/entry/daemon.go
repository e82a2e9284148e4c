package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/internal/peer"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/settle"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

const (
	// forgetFactor is how many fail times a silent member stays in the table.
	forgetFactor = 12
	// resumingAfter is how long the beacons of a host may stand still before it counts as having been paused.
	resumingAfter = time.Second
	// isolatedAfter is how long a host that reaches neither the log nor a peer goes on.
	isolatedAfter = 9 * time.Second
)

// Daemon is one entry host.
type Daemon struct {
	settings    config.Settings
	incarnation uint64
	started     time.Time
	log         *slog.Logger
	platLog     *slog.Logger
	peerLog     *slog.Logger
	requestLog  *slog.Logger
	events      *event.Ring
	metrics     *metrics.Set
	counters    counters
	control     *atomic.Int64
	adapter     Adapter
	platform    *plat.Client
	peers       *peer.Pool
	socket      *beacon.Socket
	// urgent asks for a beacon before the next period.
	urgent chan struct{}
	// known is closed once, when the topics of the store have been read.
	known     chan struct{}
	knownOnce sync.Once

	// mu guards the members below; nothing blocks while it is held.
	mu       sync.Mutex
	members  *member.Table
	reader   *ledger.Reader
	restater *ledger.Republisher
	hosts    []plat.Host
	// heldAmong are the living hosts that the holding was computed for.
	heldAmong []steer.Host
	services  map[string]*service
	ready     bool
	leads     map[string]time.Duration
	// testing holds the peer addresses whose connections are being tested.
	testing map[string]bool
	recent  []ledger.Outcome

	// configuration and targets are the topics of the store; routes is what the former means.
	configuration *followed
	targets       *followed
	routes        *table.Table
	splitter      *table.Splitter
	// settling says whether this host knows enough others to act on their number.
	settling member.Settling
	// met are entry hosts found through the store.
	met []plat.Host
	// steeredNow are the hosts that callers are steered to, and place is this host's among them.
	steeredNow []steer.Host
	place      int
	// lot orders the hosts that callers are not steered to, between zero and one.
	lot float64
	// heard is when the last beacon of each host came.
	heard map[string]time.Time
	// beacons numbers the beacons of this incarnation.
	beacons uint64
	// fanout is whom this host sends beacons, and asked when another host last asked for what this one sees.
	fanout fanout
	asked  map[string]time.Time
	// vouchedAt is when the relays of a failure domain last told which hosts callers are steered to.
	vouchedAt map[string]time.Time
	// toldUse says that the last beacon told of requests, and toldAt is when the last one with sights was due; only the loop that sends beacons uses them.
	toldUse bool
	toldAt  time.Time
	// lacked is when rows of hosts that callers are steered to were last asked for.
	lacked time.Time

	keysMu sync.Mutex
	keys   *settle.Home
	joins  map[string]chan struct{}

	// logContact and peerContact are the Unix times in ns of the last good exchange.
	logContact  atomic.Int64
	peerContact atomic.Int64
	lastBeat    atomic.Int64
	draining    atomic.Bool
	requests    atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a daemon that is not started yet; now is its incarnation.
func New(settings *config.Settings, adapter Adapter, loggers *logs.Set, now time.Time) *Daemon {
	incarnation := uint64(now.UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	control := new(atomic.Int64)
	d := &Daemon{
		settings:    *settings,
		incarnation: incarnation,
		started:     now,
		log:         loggers.For("entry"),
		platLog:     loggers.For("plat"),
		peerLog:     loggers.For("peer"),
		requestLog:  loggers.For("request"),
		events:      event.NewRing(settings.Name, incarnation, settings.EventsKept, time.Now),
		metrics:     metrics.NewSet(),
		control:     control,
		adapter:     adapter,
		urgent:      make(chan struct{}, 1),
		known:       make(chan struct{}),
		platform:    plat.NewClient(settings.Platform, control),
		peers:       peer.NewPool(control),
		reader:      ledger.New(validateDocument),
		restater:    ledger.NewRepublisher(settings.LogRetention, now),
		services:    make(map[string]*service),
		leads:       make(map[string]time.Duration),
		testing:     make(map[string]bool),
		joins:       make(map[string]chan struct{}),
		heard:       make(map[string]time.Time),
		asked:       make(map[string]time.Time),
		vouchedAt:   make(map[string]time.Time),

		configuration: newFollowed(TopicConfiguration, settings.FailureDomain),
		targets:       newFollowed(TopicTargets, settings.FailureDomain),
		splitter:      table.NewSplitter(rand.New(rand.NewPCG(incarnation, 0)).Float64),
		lot:           rand.New(rand.NewPCG(incarnation, 1)).Float64(),

		ctx:    ctx,
		cancel: cancel,
	}
	d.counters = newCounters(d.metrics)
	d.metrics.NewGauge("curranttiller_control_bytes", func() float64 { return float64(control.Load()) })
	d.members = member.New(d.selfInfo(), d.timing(), incarnation)
	d.settling = member.NewSettling(now, adapter.Store == nil || len(d.seeds()) == 0)
	if adapter.Store != nil {
		d.gaugeTopics()
	}
	d.keys = settle.New(settings.Name, incarnation, settle.Limits{
		Keys:  settings.KeysRemembered,
		Bytes: settings.AnswerBytesRemembered,
	})
	return d
}

func (d *Daemon) timing() member.Timing {
	return member.Timing{FailAfter: d.settings.FailAfter, ForgetAfter: forgetFactor * d.settings.FailAfter}
}

func (d *Daemon) selfInfo() member.Info {
	return member.Info{
		Name:          d.settings.Name,
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.FailureDomain,
		CallerAddress: d.settings.CallerAdvertised,
		PeerAddress:   d.settings.PeerAdvertised,
		AdminAddress:  d.settings.AdminAddress,
		BeaconAddress: d.settings.BeaconAddress,
		Capacity:      d.settings.Capacity(),
	}
}

func validateDocument(text string) (string, error) {
	document, err := spec.Parse("document", []byte(text))
	return document.Service, err
}

// Start runs the loops of the daemon until Close.
func (d *Daemon) Start() error {
	if d.adapter.Store != nil {
		socket, err := beacon.Open(d.settings.BeaconAddress, d.peerLog)
		if err != nil {
			return err
		}
		d.socket = socket
	}
	d.log.Info("entry host started", "Incarnation", d.incarnation, "FailureDomain", d.settings.FailureDomain)
	d.events.Add(event.Event{Kind: "HostStarted"})
	now := time.Now().UnixNano()
	d.logContact.Store(now)
	d.peerContact.Store(now)
	d.lastBeat.Store(now)
	d.done.Go(d.runTimers)
	if d.adapter.Store != nil {
		d.startFollowing()
		return nil
	}
	d.done.Go(d.runMembers)
	d.done.Go(d.runDocuments)
	d.done.Go(d.runHosts)
	return nil
}

// startFollowing runs the loops of a host whose platform has a store. The host
// joins the others only when it knows the topics, so that no caller is sent to it
// that cannot serve.
func (d *Daemon) startFollowing() {
	d.socket.Start(d.receiveBeacon)
	d.done.Go(func() { d.runFollow(d.configuration) })
	d.done.Go(func() { d.runFollow(d.targets) })
	d.done.Go(d.runLapses)
	d.done.Go(d.learnFromStrangers)
	d.done.Go(func() {
		select {
		case <-d.ctx.Done():
			return
		case <-d.known:
		}
		d.done.Go(d.meet)
		d.done.Go(d.runBeacons)
		d.runMembers()
	})
}

// Leave takes the host out of callers' answers and tells every member.
func (d *Daemon) Leave(ctx context.Context) {
	if d.draining.Swap(true) {
		return
	}
	d.mu.Lock()
	d.members.Leave()
	d.advanceKeys()
	members := d.members.Alive(time.Now())
	d.refreshHolding()
	d.mu.Unlock()
	d.events.Add(event.Event{Kind: "HostLeaving", Cause: "graceful stop"})
	var telling sync.WaitGroup
	for _, m := range members {
		if m.Name != d.settings.Name {
			telling.Go(func() { d.exchangeTables(ctx, m.PeerAddress, m.Info) })
		}
	}
	telling.Wait()
}

// HoldTime is how long callers may still keep an answer that names this host.
func (d *Daemon) HoldTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.adapter.Store != nil {
		return d.settings.StopHold
	}
	longest := time.Duration(0)
	for _, s := range d.services {
		longest = max(longest, s.document.DirectoryHold)
	}
	return longest
}

// Close stops the loops and waits for them.
func (d *Daemon) Close() {
	d.cancel()
	if d.socket != nil {
		d.socket.Close()
	}
	d.done.Wait()
	d.peers.Close()
	d.platform.Close()
	if d.adapter.Store != nil {
		d.adapter.Store.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.close()
	}
	d.log.Info("entry host stopped")
}

// Events returns the kept events that match.
func (d *Daemon) Events(filter event.Filter) []event.Event {
	return d.events.Events(filter)
}

// ControlBytes counts the bytes of control traffic, both ways.
func (d *Daemon) ControlBytes() *atomic.Int64 {
	return d.control
}

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Set {
	return d.metrics
}

// isIsolated reports whether the host must assume that others went on without
// it. A host that never knew another one goes on alone.
func (d *Daemon) isIsolated(now time.Time) bool {
	if d.adapter.Store != nil {
		// Callers that still reach the host are better served by old facts than not at all.
		return false
	}
	heard := max(d.logContact.Load(), d.peerContact.Load())
	if now.UnixNano()-heard < int64(isolatedAfter) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members.Members(now)) > 1
}

// isResuming reports whether the process has just been paused: it then waits
// for a beat of its own clock before it says anything about others.
func (d *Daemon) isResuming(now time.Time) bool {
	limit := d.settings.FailAfter/2 + d.settings.HeartbeatPeriod
	if d.adapter.Store != nil {
		limit = resumingAfter
	}
	return now.UnixNano()-d.lastBeat.Load() > int64(limit)
}
