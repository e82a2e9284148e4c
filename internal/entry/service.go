package entry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/budget"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// minConnectionsForNew is how many connections to a target this host must be allowed
// before every non-idempotent request gets a new one. A new connection cannot carry a
// late answer to another request.
const minConnectionsForNew = 16

// housekeepingPeriod is how often ejections are recorded as events and expired idle connections are closed.
const housekeepingPeriod = 200 * time.Millisecond

// decision is the pool's reply to a waiting request.
type decision struct {
	grant choose.Grant
	// refusal is the reason for which the request is refused; empty for a grant.
	refusal string
	// retryAfter is the time after which a refused request may be accepted; zero if unknown.
	retryAfter time.Duration
}

// service runs the pool of one service, which decides where requests go. It passes
// arrivals, results, targets and the time to the pool, and the pool's decisions to the
// waiting requests.
type service struct {
	daemon  *Daemon
	name    string
	metrics serviceMetrics

	// document, version and holders are guarded by the daemon's mutex.
	document spec.Document
	version  uint64
	holders  []steer.Host

	// mu guards the fields below. The daemon's mutex is locked first if both are needed.
	mu        sync.Mutex
	pool      *choose.Pool
	client    *target.Client
	limits    target.Limits
	addresses map[string]string
	// targetsByID are the names of targets by their hash in beacons.
	targetsByID map[uint32]string
	// decisions are the channels of all requests in the pool, by request ID.
	decisions map[uint64]chan decision
	// accounts are the accounts of the callers of these requests.
	accounts map[uint64]admit.Account
	// probeBudgets and ejected are keyed by target. ejected holds the targets that were
	// ejected at lastHousekeeping.
	probeBudgets     map[string]*budget.Share
	ejected          map[string]bool
	lastHousekeeping time.Time
	// poolDocument is a copy of document for code that holds only mu.
	poolDocument spec.Document
	// callerPaced are the requests that hold slots at the pace of their callers.
	callerPaced callerPaced
	// limitWarnedAt is when the last warning about an unusual limit of each target was logged.
	limitWarnedAt map[string]time.Time
	// departureWarnedAt is the same for an unusual statement that it leaves.
	departureWarnedAt map[string]time.Time
	// holdOffWarnedAt is the same for an unusual time for which it wants no requests.
	holdOffWarnedAt map[string]time.Time

	// limitsInForce is the number of targets that name a limit.
	limitsInForce atomic.Int64
	// heldOffTargets is the number of targets that hold off this host.
	heldOffTargets atomic.Int64
	// evacuatedTargets is the number of targets in evacuated failure domains.
	evacuatedTargets atomic.Int64
	// coldTargets is the number of targets that are not known to be warm.
	coldTargets atomic.Int64
	// attemptsRunning is the number of attempts that have not ended.
	attemptsRunning atomic.Int64
}

type serviceMetrics struct {
	requests *metrics.Counter
	retries  *metrics.Counter
	hedges   *metrics.Counter
	rescues  *metrics.Counter
	refusals *metrics.Counter
	probes   *metrics.Counter
	// reclaims counts the connections of late callers that were closed because others needed
	// the slots that they held.
	reclaims *metrics.Counter
	// limitedAnswers and limitedProbes count the answers to requests and to probes in which
	// a target named a usable limit, and unusualLimits those with one that was unusable or
	// was replaced by a bound.
	limitedAnswers, limitedProbes, unusualLimits *metrics.Counter
	// leavingAnswers counts the answers in which a target said that it leaves, and
	// unusualDepartures those that said so in an unusual way, which has no effect.
	leavingAnswers, unusualDepartures *metrics.Counter
	// holdOffs counts the answers in which a target named a time for which it wants no
	// requests, and unusualHoldOffs those whose time was unusable or replaced by a bound.
	holdOffs, unusualHoldOffs *metrics.Counter
	// noStatus counts the answers to requests with a status that no answer has.
	noStatus *metrics.Counter
	// waited is the time from the arrival of a request to the grant of the attempt that
	// won, target the latency of that attempt, and total the time from the arrival to
	// the end of the answer, all in seconds.
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
		refusals: counter("refusals"), probes: counter("probes"), reclaims: counter("slots_reclaimed"),
		limitedAnswers: counter("limited_answers"), limitedProbes: counter("limited_probes"), unusualLimits: counter("unusual_limits"),
		leavingAnswers: counter("leaving_answers"), unusualDepartures: counter("unusual_departures"),
		holdOffs: counter("hold_offs"), unusualHoldOffs: counter("unusual_hold_offs"),
		noStatus: counter("answers_without_status"),
	}
}

func newService(d *Daemon, name string, document *spec.Document) *service {
	now := time.Now()
	s := &service{
		daemon:       d,
		name:         name,
		metrics:      newServiceMetrics(d.metrics, name),
		pool:         choose.New(poolSettings(document, d.settings.FailureDomain), d.incarnation, now),
		limits:       clientLimits(document),
		poolDocument: *document,
		addresses:    make(map[string]string),
		targetsByID:  make(map[uint32]string),
		decisions:    make(map[uint64]chan decision),
		accounts:     make(map[uint64]admit.Account),
		probeBudgets: make(map[string]*budget.Share),
		ejected:      make(map[string]bool),
		callerPaced:  newCallerPaced(),

		limitWarnedAt:     make(map[string]time.Time),
		departureWarnedAt: make(map[string]time.Time),
		holdOffWarnedAt:   make(map[string]time.Time),
	}
	s.client = target.NewClient(s.limits, d.adapter.TargetProtocol)
	s.pool.SetEvacuated(now, d.evacuated)
	if plan := d.stopPlan.Load(); plan != nil {
		s.pool.StopAt(now, plan.endsAt)
	}
	d.metrics.GetOrCreateGauge(fmt.Sprintf("curranttiller_service_limits_in_force{service=%q}", name), func() float64 { return float64(s.limitsInForce.Load()) })
	d.metrics.GetOrCreateGauge(fmt.Sprintf("curranttiller_service_held_off_targets{service=%q}", name), func() float64 { return float64(s.heldOffTargets.Load()) })
	d.metrics.GetOrCreateGauge(fmt.Sprintf("curranttiller_service_cold_targets{service=%q}", name), func() float64 { return float64(s.coldTargets.Load()) })
	d.metrics.GetOrCreateGauge(fmt.Sprintf("curranttiller_service_evacuated_targets{service=%q}", name), func() float64 { return float64(s.evacuatedTargets.Load()) })
	return s
}

func clientLimits(document *spec.Document) target.Limits {
	return target.Limits{Connections: document.ConnectionShare(), IdleTimeout: document.ConnectionFresh}
}

func poolSettings(document *spec.Document, failureDomain string) choose.Settings {
	return choose.Settings{
		Policy:            document.Policy,
		Slots:             document.Slots,
		Overcommit:        document.Overcommit,
		QueueWaitAtMost:   document.QueueWaitAtMost,
		AttemptsAtMost:    document.AttemptsAtMost,
		ExtraAttemptShare: document.ExtraAttemptShare,
		HedgeShare:        document.HedgeShare,
		HedgeQuantile:     document.HedgeQuantile,
		BusyShare:         document.BusyShare,
		QuietAfter:        document.QuietAfter,
		FailureDomain:     failureDomain,
		ExtraBurst:        document.ExtraBurst,
		BurstHosts:        burstHosts(document),
		ChargeRescues:     document.Policy == spec.PolicySpeed,
		ColdPerSecond:     document.ColdPerSecond,
		ColdTime:          document.ColdTime,
	}
}

// burstHosts returns the number of hosts up to which each gets the whole burst of extra
// attempts, or zero if the burst is never divided. It is divided only under the policy
// Speed. Under the policy Held only few hosts send requests at the same time, even if
// there are many hosts.
func burstHosts(document *spec.Document) int {
	if document.Policy != spec.PolicySpeed {
		return 0
	}
	return document.EntryHostsAtMost
}

// setDocument puts a version of the service's document in force; the daemon's mutex is held.
func (s *service) setDocument(now time.Time, document *spec.Document, version uint64) {
	s.document = *document
	s.version = version
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits := clientLimits(document); limits != s.limits {
		s.client.Close()
		s.limits = limits
		s.client = target.NewClient(limits, s.daemon.adapter.TargetProtocol)
	}
	if document.ProbeShare() != s.poolDocument.ProbeShare() || document.ProbeWindow != s.poolDocument.ProbeWindow {
		// A changed budget starts without a token, so that it allows no burst.
		s.probeBudgets = make(map[string]*budget.Share)
	}
	s.poolDocument = *document
	s.deliverActions(s.pool.SetSettings(poolSettings(document, s.daemon.settings.FailureDomain), now))
}

// setTargets replaces the holders of the service and its targets. hosts may contain
// hosts of any role and service. The daemon's mutex is held.
func (s *service) setTargets(now time.Time, hosts []plat.Host, holders []steer.Host) {
	s.holders = holders
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []steer.Target
	targets := make([]choose.Target, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		if h.Role != plat.RoleTarget || h.Service != s.name {
			continue
		}
		if address, found := s.addresses[h.Name]; !found || address != h.Address {
			s.addresses[h.Name] = h.Address
			s.targetsByID[beacon.TargetID(h.Name)] = h.Name
		}
		listed = append(listed, steer.Target{Name: h.Name, FailureDomain: h.FailureDomain})
		targets = append(targets, choose.Target{
			Name: h.Name, FailureDomain: h.FailureDomain, Leaving: h.State == plat.StateLeaving, Slots: h.Slots, ColdUntil: h.ColdUntil, StartedAt: h.StartedAt,
		})
	}
	held := make(map[string]bool)
	for _, t := range s.heldTargets(listed, holders) {
		held[t.Name] = true
	}
	usesSpares := s.document.Policy == spec.PolicyHeld || s.document.Policy == spec.PolicySpeed
	isHolder := s.daemon.isHolder(s)
	for i := range targets {
		targets[i].Spare = usesSpares && !held[targets[i].Name]
		targets[i].OwnsLimit = isHolder && held[targets[i].Name]
	}
	s.pool.SetFleetSize(s.daemon.knownHosts, s.daemon.reachedHosts)
	s.pool.SetSharingHosts(steer.SharingHostCount(holders, s.daemon.settings.FailureDomain))
	s.deliverActions(s.pool.SetTargets(now, targets))
	s.announceColdChanges(now, statedInList)
}

// heldTargets lists the targets that this host holds, which are those that it probes if
// it is a holder. Under the policy Speed every host uses all targets. The targets of a
// failure domain are then held by the holders in it, if there are any, because these
// can measure them at the lowest cost. Under the policy Held a host that is not a
// holder gets all targets from steer.Held, so that none is a spare to it. Under other
// policies such a host holds none. The daemon's mutex is held.
func (s *service) heldTargets(targets []steer.Target, holders []steer.Host) []steer.Target {
	self := s.daemon.settings.Name
	switch {
	case s.document.Policy == spec.PolicySpeed && s.daemon.isHolder(s):
		return steer.HeldByDomain(s.name, targets, holders, self)
	case s.document.Policy == spec.PolicyHeld || s.daemon.isHolder(s):
		return steer.Held(s.name, targets, holders, self)
	default:
		return nil
	}
}

// deliverActions sends grants and refusals to the waiting requests; s.mu is held.
func (s *service) deliverActions(actions choose.Actions) {
	for _, grant := range actions.Grants {
		s.deliverDecision(grant.Request, decision{grant: grant})
	}
	for _, refusal := range actions.Refusals {
		s.callerPaced.isWanted = s.callerPaced.isWanted || refusal.Reason == choose.ReasonQueueFull
		s.deliverDecision(refusal.Request, decision{refusal: refusal.Reason, retryAfter: refusal.RetryAfter})
	}
}

func (s *service) deliverDecision(id uint64, d decision) {
	if decisions, found := s.decisions[id]; found {
		decisions <- d
	}
}

// arrive adds a request to the pool and returns the channel on which its decisions are sent.
func (s *service) arrive(request choose.Request, account admit.Account) <-chan decision {
	// The channel has room for every decision that a request can get, so that
	// deliverActions never blocks. These are a grant for each attempt, and a refusal for
	// the arrival, for the retry of each attempt and for the rescue.
	decisions := make(chan decision, 2*request.AttemptsAtMost+2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions[request.ID] = decisions
	s.accounts[request.ID] = account
	s.deliverActions(s.pool.Arrive(time.Now(), request))
	return decisions
}

func (s *service) finish(id uint64, attempt int, outcome choose.Outcome) {
	s.attemptsRunning.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.deliverActions(s.pool.Finish(now, id, attempt, outcome))
	s.announceLimitChanges(now, statedInAnswer)
	s.announceColdChanges(now, assumedAfterErrors)
}

// retry requests another attempt from the pool and reports whether it is allowed.
func (s *service) retry(id uint64, isRescue bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions, allowed := s.pool.Retry(time.Now(), id, isRescue)
	s.deliverActions(actions)
	return allowed
}

// suspect frees the slots of a request whose answer is late. It also closes the idle
// connections that may be dead too, judged by the time at which the request was first sent
// and by the target.
func (s *service) suspect(id uint64, sent time.Time, targetName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.CloseDoubtful(time.Now(), sent, s.addresses[targetName])
	s.deliverActions(s.pool.MarkSuspect(time.Now(), id))
}

// bodyArrived records that the body of a request has arrived that was sent on while it did.
func (s *service) bodyArrived(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.BodyArrived(time.Now(), id)
}

func (s *service) hedge(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.Hedge(time.Now(), id))
}

// release removes a request from the pool. The slots of grants that were not used are freed.
func (s *service) release(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decisions := s.decisions[id]
	delete(s.decisions, id)
	delete(s.accounts, id)
	s.callerPaced.remove(id)
	for len(decisions) > 0 {
		if unused := <-decisions; unused.refusal == "" {
			s.freeGrant(id, unused.grant)
		}
	}
	s.deliverActions(s.pool.Release(time.Now(), id))
}

// returnGrant frees the slot of a grant that is not used.
func (s *service) returnGrant(id uint64, grant choose.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeGrant(id, grant)
}

// freeGrant is returnGrant with s.mu held.
func (s *service) freeGrant(id uint64, grant choose.Grant) {
	s.deliverActions(s.pool.Finish(time.Now(), id, grant.Attempt, choose.Outcome{Kind: choose.Unused}))
}

// transport returns the client and the address of a target. useNew is set if there are
// enough connections to give each non-idempotent request a new one.
func (s *service) transport(name string) (client *target.Client, address string, useNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client, s.addresses[name], s.limits.Connections >= minConnectionsForNew
}

// tick advances the pool to now and returns the targets to probe, as far as their probe budgets allow.
func (s *service) tick(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverActions(s.pool.Tick(now))
	if now.Sub(s.lastHousekeeping) >= housekeepingPeriod {
		s.lastHousekeeping = now
		s.client.CloseExpired(now)
		s.recordEjections(now)
		s.updateLimitGauge(now)
		s.evacuatedTargets.Store(int64(s.pool.Evacuated()))
		s.coldTargets.Store(int64(s.pool.ColdTargets(now)))
		s.heldOffTargets.Store(int64(len(s.pool.HeldOff(now))))
	}
	var due []string
	for _, name := range s.pool.Probes(now) {
		if s.probeBudget(name, now).Spend(now) {
			due = append(due, name)
		} else {
			s.pool.ProbeSkipped(name)
		}
	}
	return due
}

// probeBudget returns this host's share of a target's probe budget; s.mu is held.
func (s *service) probeBudget(name string, now time.Time) *budget.Share {
	share, found := s.probeBudgets[name]
	if !found {
		share = budget.NewShare(s.poolDocument.ProbeShare(), s.poolDocument.ProbeWindow, now)
		s.probeBudgets[name] = share
	}
	return share
}

// recordEjections adds an event for each target that was ejected or whose ejection expired; s.mu is held.
func (s *service) recordEjections(now time.Time) {
	ejected := make(map[string]bool)
	for _, e := range s.pool.Ejections(now) {
		ejected[e.Target] = true
		if !s.ejected[e.Target] {
			s.daemon.events.Add(event.Event{Kind: "TargetEjected", Service: s.name, Target: e.Target, Cause: e.Cause})
		}
	}
	for name := range s.ejected {
		if !ejected[name] && s.pool.HasTarget(name) {
			s.daemon.events.Add(event.Event{Kind: "TargetOnTrial", Service: s.name, Target: name, Cause: "its ejection has expired"})
		}
	}
	s.ejected = ejected
}

// probeFinished passes the result of a probe to the pool. A nil report means that it
// failed, and named is nil without an answer.
func (s *service) probeFinished(name string, sent time.Time, report *choose.Report, named *limit.Named) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if named != nil {
		s.pool.ProbedLimit(now, name, sent, *named)
	}
	s.deliverActions(s.pool.Probed(now, name, report))
	s.announceLimitChanges(now, statedInProbe)
	s.announceColdChanges(now, assumedAfterErrors)
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Close()
}
