package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/budget"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// newConnectionShare is the share of connections from which non-idempotent
// requests get new ones, on which no answer to another request can be left over.
const newConnectionShare = 16

// notePeriod is how often targets that went out of use are looked for, for the time line, and connections that have rested.
const notePeriod = 200 * time.Millisecond

// decision is what a waiting request gets from its pool: a grant or a refusal.
type decision struct {
	grant   choose.Grant
	refusal string
	// retryAfter is when a refused request may be served.
	retryAfter time.Duration
}

// service is the shell around the pool of one service.
type service struct {
	daemon  *Daemon
	name    string
	metrics serviceMetrics

	// document, version and holders are guarded by the daemon's mutex.
	document spec.Document
	version  uint64
	holders  []steer.Host

	mu        sync.Mutex
	pool      *choose.Pool
	client    *target.Client
	limits    target.Limits
	addresses map[string]string
	// ids are the names of targets by their short form in beacons.
	ids       map[uint32]string
	decisions map[uint64]chan decision
	probes    map[string]*budget.Share
	ejected   map[string]bool
	noted     time.Time
	current   spec.Document
}

type serviceMetrics struct {
	requests *metrics.Counter
	retries  *metrics.Counter
	hedges   *metrics.Counter
	rescues  *metrics.Counter
	refusals *metrics.Counter
	probes   *metrics.Counter
	// waited is the time from arrival to the grant of the attempt that won, target
	// that until its answer, and total the whole time at this host, in seconds.
	waited, target, total *metrics.Histogram
}

func newServiceMetrics(set *metrics.Set, name string) serviceMetrics {
	counter := func(what string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("curranttiller_service_%s_total{service=%q}", what, name))
	}
	histogram := func(what string) *metrics.Histogram {
		return set.GetOrCreateHistogram(fmt.Sprintf("curranttiller_service_%s_seconds{service=%q}", what, name))
	}
	return serviceMetrics{
		waited: histogram("waited"), target: histogram("target"), total: histogram("total"),
		requests: counter("requests"), retries: counter("retries"), hedges: counter("hedges"), rescues: counter("rescues"),
		refusals: counter("refusals"), probes: counter("probes"),
	}
}

func newService(d *Daemon, name string, document *spec.Document) *service {
	now := time.Now()
	s := &service{
		daemon:    d,
		name:      name,
		metrics:   newServiceMetrics(d.metrics, name),
		pool:      choose.New(poolSettings(document, d.settings.FailureDomain), d.incarnation, now),
		limits:    clientLimits(document),
		current:   *document,
		addresses: make(map[string]string),
		ids:       make(map[uint32]string),
		decisions: make(map[uint64]chan decision),
		probes:    make(map[string]*budget.Share),
		ejected:   make(map[string]bool),
	}
	s.client = target.NewClient(s.limits, d.adapter.Wire)
	return s
}

func clientLimits(document *spec.Document) target.Limits {
	return target.Limits{Connections: document.ConnectionShare(), Fresh: document.ConnectionFresh}
}

func poolSettings(document *spec.Document, failureDomain string) choose.Settings {
	return choose.Settings{
		Policy:            document.Policy,
		Slots:             document.Slots,
		Overcommit:        document.Overcommit,
		QueueWaitAtMost:   document.QueueWaitAtMost,
		AttemptsAtMost:    document.AttemptsAtMost,
		ExtraAttemptShare: document.ExtraAttemptShare,
		HedgeQuantile:     document.HedgeQuantile,
		BusyShare:         document.BusyShare,
		QuietAfter:        document.QuietAfter,
		FailureDomain:     failureDomain,
		ExtraBurst:        document.ExtraBurst,
		BurstHosts:        burstHosts(document),
		ChargeRescues:     document.Policy == spec.PolicySpeed,
	}
}

// burstHosts is the number of hosts that share what may be saved up of extra
// attempts. By the policy Held few hosts send at a time, whatever their number.
func burstHosts(document *spec.Document) int {
	if document.Policy != spec.PolicySpeed {
		return 0
	}
	return document.EntryHostsAtMost
}

// setDocument puts a version in force; the daemon's mutex is held.
func (s *service) setDocument(now time.Time, document *spec.Document, version uint64) {
	s.document = *document
	s.version = version
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits := clientLimits(document); limits != s.limits {
		s.client.Close()
		s.limits = limits
		s.client = target.NewClient(limits, s.daemon.adapter.Wire)
	}
	if document.ProbeShare() != s.current.ProbeShare() || document.ProbeWindow != s.current.ProbeWindow {
		// A changed budget starts with nothing saved up.
		s.probes = make(map[string]*budget.Share)
	}
	s.current = *document
	s.deliver(s.pool.SetSettings(poolSettings(document, s.daemon.settings.FailureDomain), now))
}

// setTargets takes the platform's list and the holders of the service; the daemon's mutex is held.
func (s *service) setTargets(now time.Time, hosts []plat.Host, holders []steer.Host) {
	s.holders = holders
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []steer.Target
	targets := make([]choose.Target, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		if h.Role != plat.RoleTarget || h.Service != s.name {
			continue
		}
		if known, found := s.addresses[h.Name]; !found || known != h.Address {
			s.addresses[h.Name] = h.Address
			s.ids[beacon.TargetID(h.Name)] = h.Name
		}
		all = append(all, steer.Target{Name: h.Name, FailureDomain: h.FailureDomain})
		targets = append(targets, choose.Target{
			Name: h.Name, FailureDomain: h.FailureDomain, Leaving: h.State == plat.StateLeaving, Slots: h.Slots, ColdUntil: h.ColdUntil,
		})
	}
	held := make(map[string]bool)
	for _, t := range s.held(all, holders) {
		held[t.Name] = true
	}
	isPartitioned := s.document.Policy == spec.PolicyHeld || s.document.Policy == spec.PolicySpeed
	for i := range targets {
		targets[i].Spare = isPartitioned && !held[targets[i].Name]
	}
	s.pool.SetSharingHosts(steer.Sharers(holders, s.daemon.settings.FailureDomain))
	s.deliver(s.pool.SetTargets(now, targets))
}

// held lists the targets that this host holds. By the policy Speed every host
// uses all targets, and those near it are cheapest to measure; the daemon's mutex is held.
func (s *service) held(targets []steer.Target, holders []steer.Host) []steer.Target {
	self := s.daemon.settings.Name
	switch {
	case s.document.Policy == spec.PolicySpeed && s.daemon.isHolder(s):
		return steer.HeldNear(s.name, targets, holders, self)
	case s.document.Policy == spec.PolicyHeld || s.daemon.isHolder(s):
		return steer.Held(s.name, targets, holders, self)
	default:
		return nil
	}
}

// deliver hands grants and refusals to the waiting requests; s.mu is held.
func (s *service) deliver(actions choose.Actions) {
	for _, grant := range actions.Grants {
		s.deliverDecision(grant.Request, decision{grant: grant})
	}
	for _, refusal := range actions.Refusals {
		s.deliverDecision(refusal.Request, decision{refusal: refusal.Reason, retryAfter: refusal.RetryAfter})
	}
}

func (s *service) deliverDecision(id uint64, t decision) {
	if waiter, found := s.decisions[id]; found {
		waiter <- t
	}
}

// arrive registers a request with the pool; its decisions come through the returned channel.
func (s *service) arrive(request choose.Request) <-chan decision {
	// The channel holds every decision that a request can get, so that deliver
	// never blocks: a grant for each attempt, and a refusal for the arrival, for
	// the retry of each attempt and for the rescue.
	waiter := make(chan decision, 2*request.AttemptsAtMost+2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions[request.ID] = waiter
	s.deliver(s.pool.Arrive(time.Now(), request))
	return waiter
}

func (s *service) finish(id uint64, attempt int, outcome choose.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Finish(time.Now(), id, attempt, outcome))
}

func (s *service) retry(id uint64, isRescue bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions, allowed := s.pool.Retry(time.Now(), id, isRescue)
	s.deliver(actions)
	return allowed
}

// doubt frees the slots of a late request and drops the idle connections that
// have not answered since it was sent: they may be silent too.
func (s *service) doubt(id uint64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.DropIdle(sent)
	s.deliver(s.pool.MarkSuspect(time.Now(), id))
}

func (s *service) hedge(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Hedge(time.Now(), id))
}

// release forgets a request. A grant that came too late to be used gives its slot back.
func (s *service) release(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter := s.decisions[id]
	delete(s.decisions, id)
	for len(waiter) > 0 {
		if unused := <-waiter; unused.refusal == "" {
			s.deliver(s.pool.Finish(time.Now(), id, unused.grant.Attempt, choose.Outcome{Kind: choose.Unused}))
		}
	}
	s.deliver(s.pool.Release(time.Now(), id))
}

// transport returns the client and the address of a target, and whether there
// are connections enough to give each non-idempotent request a new one.
func (s *service) transport(name string) (client *target.Client, address string, sparesNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client, s.addresses[name], s.limits.Connections >= newConnectionShare
}

// tick lets time pass in the pool and returns the targets to probe.
func (s *service) tick(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Tick(now))
	if now.Sub(s.noted) >= notePeriod {
		s.noted = now
		s.client.CloseExpired(now)
		s.noteEjections(now)
	}
	var due []string
	for _, name := range s.pool.Probes(now) {
		if s.share(name, now).Spend(now) {
			due = append(due, name)
		} else {
			s.pool.ProbeSkipped(name)
		}
	}
	return due
}

// share returns the host's part of a target's measuring budget; s.mu is held.
func (s *service) share(name string, now time.Time) *budget.Share {
	share, found := s.probes[name]
	if !found {
		share = budget.NewShare(s.current.ProbeShare(), s.current.ProbeWindow, now)
		s.probes[name] = share
	}
	return share
}

// noteEjections records targets that went out of use or came back; s.mu is held.
func (s *service) noteEjections(now time.Time) {
	out := make(map[string]bool)
	for _, e := range s.pool.Ejections(now) {
		out[e.Target] = true
		if !s.ejected[e.Target] {
			s.daemon.events.Add(event.Event{Kind: "TargetEjected", Service: s.name, Target: e.Target, Cause: e.Cause})
		}
	}
	for name := range s.ejected {
		if !out[name] && s.pool.HasTarget(name) {
			s.daemon.events.Add(event.Event{Kind: "TargetOnTrial", Service: s.name, Target: name, Cause: "its time out of use is over"})
		}
	}
	s.ejected = out
}

func (s *service) probed(name string, report *choose.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Probed(time.Now(), name, report))
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Close()
}
