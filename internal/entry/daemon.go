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
	// forgetFactor times FailAfter is how long a silent member stays in the membership table.
	forgetFactor = 12
	// pausedAfter is the time without a run of the heartbeat or beacon loop after which a process with a store counts as having been paused.
	pausedAfter = time.Second
	// isolatedAfter is how long a host without a store keeps serving while it reaches neither the log nor a peer.
	isolatedAfter = 9 * time.Second
)

// Daemon is one entry host.
type Daemon struct {
	settings     config.Settings
	incarnation  uint64
	startedAt    time.Time
	log          *slog.Logger
	platLog      *slog.Logger
	peerLog      *slog.Logger
	requestLog   *slog.Logger
	events       *event.Ring
	metrics      *metrics.Set
	counters     counters
	controlBytes *atomic.Int64
	adapter      Adapter
	platform     *plat.Client
	peers        *peer.Pool
	socket       *beacon.Socket
	// callerLimits are those of the routes in force; nil before there are any.
	callerLimits atomic.Pointer[table.CallerLimits]
	// urgent makes the beacon loop send at once instead of at its next period.
	urgent chan struct{}
	// topicsRead is closed when Configuration and Targets have both been read once.
	topicsRead     chan struct{}
	topicsReadOnce sync.Once

	// mu guards the fields below down to keysMu, except those that only the beacon loop uses. No call that can block is made while it is held.
	mu      sync.Mutex
	members *member.Table
	// reader applies the records of the document log. republisher decides which documents
	// this host must append again before the log deletes them.
	reader      *ledger.Reader
	republisher *ledger.Republisher
	// listedHosts are the targets, and without a store also the entry hosts, that the platform lists.
	listedHosts []plat.Host
	// lastAliveHosts are the alive hosts at the last call of refreshHolders.
	lastAliveHosts []steer.Host
	// services are keyed by name.
	services map[string]*service
	// ready is set once this host can serve requests: without a store when it has the
	// documents, and with one when it has a configuration and the targets. It stays set.
	ready bool
	// clockLeads is by how much the clock of each other host is ahead of this host's,
	// by the last heartbeat that it answered.
	clockLeads map[string]time.Duration
	// addressesUnderTest holds the peer addresses whose connections are being tested with a heartbeat.
	addressesUnderTest map[string]bool
	// recentOutcomes are the last decisions about proposed documents, oldest first.
	recentOutcomes []ledger.Outcome

	// configuration and targets are the topics of the store that this host follows.
	configuration *followedTopic
	targets       *followedTopic
	inForce
	// joinPhase says whether the membership table has settled, which means that it is
	// complete enough to compute the steered hosts from it.
	joinPhase member.JoinPhase
	// storeSeeds are entry hosts listed in the store, which serve as seeds too.
	storeSeeds []plat.Host
	// steeredHosts are the hosts that callers are directed to, in the order in which
	// they read the store. readRank is this host's index in it, or its length if this
	// host is not steered.
	steeredHosts []steer.Host
	readRank     int
	// jitter is a random number between zero and one, fixed for the incarnation, that
	// spreads the times at which hosts read the store.
	jitter float64
	// lastSeen is when each host last showed that it is alive, by a beacon of its own
	// or in a relay's list of steered hosts, or when it became a steered host if that is later.
	lastSeen map[string]time.Time
	// beaconSequence is raised by each run of the beacon loop that may send, and is the
	// sequence number of all beacons of that run.
	beaconSequence uint64
	// knownHosts is the estimated number of entry hosts that this host knows, itself
	// included, and reachedHosts that of those that are alive.
	knownHosts, reachedHosts int
	// fanout holds the receivers of this host's beacons. It is updated when the membership
	// table has settled and before each full beacon.
	fanout fanout
	// observationsWantedAt is when each other host last asked for this host's observations of all targets.
	observationsWantedAt map[string]time.Time
	// relayReportAt is when a list of steered hosts was last received from a relay of each failure domain.
	relayReportAt map[string]time.Time
	// lastBeaconHadRequests says that this host had requests in flight when it last
	// collected observations for a beacon. observationsDueAt is when a beacon with
	// observations was last due, even if there were none to send. Only the beacon loop
	// uses these two.
	lastBeaconHadRequests bool
	observationsDueAt     time.Time
	// rowsRequestedAt is when a relay was last asked for member rows of steered hosts that this host lacks.
	rowsRequestedAt time.Time

	// keysMu guards keys and keyDone; it may be locked while mu is held.
	keysMu sync.Mutex
	// keys are the idempotency keys whose home is this incarnation.
	keys *settle.Home
	// keyDone holds, by key, channels that are closed when the request has its answer.
	keyDone map[string]chan struct{}

	// lastPlatformRead is the Unix time in ns of the last successful read of the document
	// log or the store, and lastPeerContact that of the last heartbeat, beacon or reply
	// with documents from another entry host. Both begin with the time of Start. lastTick
	// is the Unix time in ns of the last run of the heartbeat or beacon loop.
	lastPlatformRead atomic.Int64
	lastPeerContact  atomic.Int64
	lastTick         atomic.Int64
	// stopPlan is nil until PlanStop is called.
	stopPlan atomic.Pointer[stopPlan]
	// requestsEnded is closed by EndRequests.
	requestsEnded   chan struct{}
	endRequestsOnce sync.Once
	// draining says that Leave was called.
	draining atomic.Bool
	// allotments keep organisations within their allotments.
	allotments *allotments
	// sharing holds the parts that exchange short facts with other hosts.
	sharing sharing
	// lastRequestID is the last ID that a request got in a pool.
	lastRequestID atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a daemon that is not started yet. Its incarnation is now in Unix ns.
func New(settings *config.Settings, adapter Adapter, loggers *logs.Set, now time.Time) *Daemon {
	incarnation := uint64(now.UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	control := new(atomic.Int64)
	d := &Daemon{
		settings:             *settings,
		incarnation:          incarnation,
		startedAt:            now,
		log:                  loggers.For("entry"),
		platLog:              loggers.For("plat"),
		peerLog:              loggers.For("peer"),
		requestLog:           loggers.For("request"),
		events:               event.NewRing(settings.Name, incarnation, settings.EventsKept, time.Now),
		metrics:              metrics.NewSet(),
		controlBytes:         control,
		adapter:              adapter,
		urgent:               make(chan struct{}, 1),
		topicsRead:           make(chan struct{}),
		requestsEnded:        make(chan struct{}),
		allotments:           newAllotments(incarnation),
		platform:             plat.NewClient(settings.PlatformAddress, control),
		peers:                peer.NewPool(control),
		reader:               ledger.New(validateDocument),
		republisher:          ledger.NewRepublisher(settings.LogRetention, now),
		services:             make(map[string]*service),
		clockLeads:           make(map[string]time.Duration),
		addressesUnderTest:   make(map[string]bool),
		keyDone:              make(map[string]chan struct{}),
		lastSeen:             make(map[string]time.Time),
		observationsWantedAt: make(map[string]time.Time),
		relayReportAt:        make(map[string]time.Time),

		configuration: newFollowedTopic(TopicConfiguration, settings.FailureDomain),
		targets:       newFollowedTopic(TopicTargets, settings.FailureDomain),
		inForce:       newInForce(rand.New(rand.NewPCG(incarnation, 0)).Float64),
		jitter:        rand.New(rand.NewPCG(incarnation, 1)).Float64(),
		knownHosts:    max(len(settings.Peers), 1),
		reachedHosts:  1,

		ctx:    ctx,
		cancel: cancel,
	}
	d.counters = newCounters(d.metrics)
	d.sharing.sharers = []sharer{&sharedLimits{}, sharedDepartures{}, sharedHoldOffs{}, sharedCold{}}
	d.metrics.NewGauge("curranttiller_control_bytes", func() float64 { return float64(control.Load()) })
	d.members = member.New(d.selfInfo(), d.timing(), incarnation)
	// Without a store or without seeds, the membership table counts as settled from the start.
	d.joinPhase = member.NewJoinPhase(now, adapter.Store == nil || len(d.seeds()) == 0)
	if adapter.Store != nil {
		d.addAllotmentMetrics()
		d.addTopicGauges()
	}
	d.keys = settle.New(settings.Name, incarnation, settle.Limits{
		Keys:  settings.KeysRemembered,
		Bytes: settings.AnswerBytesRemembered,
	})
	return d
}

func (d *Daemon) timing() member.Timing {
	return member.Timing{FailAfter: d.settings.FailAfter, RemoveAfter: forgetFactor * d.settings.FailAfter}
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

// Start opens the beacon socket if there is a store, and starts the loops, which
// run until Close. The error is that of opening the socket.
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
	d.lastPlatformRead.Store(now)
	d.lastPeerContact.Store(now)
	d.lastTick.Store(now)
	d.done.Go(d.runTimers)
	if d.adapter.Store != nil {
		d.startWithStore()
		return nil
	}
	d.done.Go(d.runMembers)
	d.done.Go(d.runDocuments)
	d.done.Go(d.runHosts)
	return nil
}

// startWithStore starts the loops of a host whose platform has a store. The host
// joins the membership only after it has read the topics, because any member may
// become a steered host, to which callers are directed, and before that it could not
// serve them.
func (d *Daemon) startWithStore() {
	d.socket.Start(d.receiveBeacon)
	d.done.Go(func() { d.followTopic(d.configuration) })
	d.done.Go(func() { d.followTopic(d.targets) })
	d.done.Go(d.dropLapsedTargets)
	d.done.Go(d.fetchFactsFromSeeds)
	d.done.Go(func() {
		select {
		case <-d.ctx.Done():
			return
		case <-d.topicsRead:
		}
		d.done.Go(d.runStoreSeeds)
		d.done.Go(d.runBeacons)
		d.runMembers()
	})
}

// Leave marks the host as leaving, so that callers are no longer directed to it,
// and sends this to every alive member. It returns when each has answered or
// failed; later calls do nothing.
func (d *Daemon) Leave(ctx context.Context) {
	if d.draining.Swap(true) {
		return
	}
	d.mu.Lock()
	d.members.Leave()
	d.advanceKeys()
	members := d.members.Alive(time.Now())
	d.refreshHolders()
	d.mu.Unlock()
	d.events.Add(event.Event{Kind: "HostLeaving", Cause: "graceful stop"})
	var exchanges sync.WaitGroup
	for _, m := range members {
		if m.Name != d.settings.Name {
			exchanges.Go(func() { d.exchangeTables(ctx, m.PeerAddress, m.Info) })
		}
	}
	exchanges.Wait()
}

// HoldTime is how long a leaving host must keep serving for callers that still use its
// address. It is the setting StopHold with a store, and otherwise the longest time for
// which callers may cache a directory answer for a service.
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

// Close stops the loops, waits for them to end and closes all connections.
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

// Events returns the events in the ring that match the filter.
func (d *Daemon) Events(filter event.Filter) []event.Event {
	return d.events.Events(filter)
}

// ControlBytes is the number of bytes of control traffic sent and received. Each
// received beacon is counted as receivedBeaconBytes.
func (d *Daemon) ControlBytes() *atomic.Int64 {
	return d.controlBytes
}

// Metrics returns the set in which the daemon registers its metrics.
func (d *Daemon) Metrics() *metrics.Set {
	return d.metrics
}

// isIsolated reports whether the host has reached neither the platform nor a peer
// for so long that other hosts may have taken over its targets. A host whose
// membership table holds only itself is never isolated.
func (d *Daemon) isIsolated(now time.Time) bool {
	if d.adapter.Store != nil {
		// For callers that still reach the host, stale facts are better than no service.
		return false
	}
	lastContact := max(d.lastPlatformRead.Load(), d.lastPeerContact.Load())
	if now.UnixNano()-lastContact < int64(isolatedAfter) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members.Members(now)) > 1
}

// isResuming reports whether the process has just been paused, so that its view of
// other hosts is stale. It ends when the heartbeat or beacon loop runs again. With a
// store it also holds from pausedAfter after the start until the host has read the
// topics, because these loops start only then.
func (d *Daemon) isResuming(now time.Time) bool {
	limit := d.settings.FailAfter/2 + d.settings.HeartbeatPeriod
	if d.adapter.Store != nil {
		limit = pausedAfter
	}
	return now.UnixNano()-d.lastTick.Load() > int64(limit)
}
