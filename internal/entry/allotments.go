package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/allot"
	"gitlab.com/curranttiller/curranttiller/pkg/event"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// allotmentDemand and allotmentAnswer are the kinds of the facts in questions to the owner
	// of the allotments and in its answers. The value of the first fact is the number of the
	// question, and the subjects of the others are organisations.
	allotmentDemand = "AllotmentDemand"
	allotmentAnswer = "AllotmentAnswer"
	// countBits is the number of bits of each count in the value of a fact.
	countBits = 16
	countMask = 1<<countBits - 1
	// allotmentRetry is the time after which a request that waits asks again.
	allotmentRetry = 20 * time.Millisecond
	// allotmentAskPeriod is the least time between two checks whether tokens run short while
	// no request waits.
	allotmentAskPeriod = 20 * time.Millisecond
	// unknownSpread is the number of hosts that a host assumes until the beacon loop runs.
	unknownSpread = 16
	// knownSteeredPeriod is the time between two calculations of the hosts that would be
	// steered if all known hosts were alive.
	knownSteeredPeriod = 500 * time.Millisecond
	// allotmentLogPeriod is the least time between two log lines about one organisation.
	allotmentLogPeriod = 10 * time.Second
	// allotmentRetryAfter is the mean of the time after which a refused caller should return.
	allotmentRetryAfter = time.Second
)

// allotments keep organisations within their allotments. They connect the state machines of
// package allot with the requests and the beacons.
type allotments struct {
	// mu guards the fields below. It is never locked before the daemon's mutex.
	mu      sync.Mutex
	spender *allot.Spender
	owner   *allot.Owner
	spread  allot.Spread
	// ownerName and ownerAddress are those of the owner in this host's view; empty if there is none.
	ownerName, ownerAddress string
	// answered is closed when tokens have arrived, and then replaced.
	answered chan struct{}
	checked  time.Duration
	// registry is the one that termsByKey was made from.
	registry   *orgs.Registry
	termsByKey map[uint32]allot.Terms
	loggedAt   map[string]time.Duration

	// knownSteered are the names of the hosts that would be steered if all known hosts were
	// alive, at knownSteeredAt. Only the beacon loop uses these two.
	knownSteered   []string
	knownSteeredAt time.Duration
}

func newAllotments(incarnation uint64) *allotments {
	// Numbers of questions start in order of the incarnations of a host.
	return &allotments{
		spender: allot.NewSpender(bootTime(), incarnation/uint64(time.Millisecond), rand.Float64), owner: allot.NewOwner(),
		spread:   allot.Spread{Steered: unknownSpread, Known: unknownSpread, IsSteered: true},
		answered: make(chan struct{}), loggedAt: make(map[string]time.Duration),
	}
}

// addAllotmentMetrics registers the gauges of the allotments.
func (d *Daemon) addAllotmentMetrics() {
	gauge := func(name string, value func(a *allotments) float64) {
		d.metrics.NewGauge("curranttiller_allotment_"+name, func() float64 {
			d.allotments.mu.Lock()
			defer d.allotments.mu.Unlock()
			return value(d.allotments)
		})
	}
	gauge("organisations", func(a *allotments) float64 { return float64(len(a.termsByKey)) })
	gauge("tokens", func(a *allotments) float64 { return float64(a.spender.Held(bootTime())) })
	gauge("reserved", func(a *allotments) float64 { return float64(a.spender.Reserved()) })
	gauge("owner", func(a *allotments) float64 {
		if a.owner.IsOwner() {
			return 1
		}
		return 0
	})
}

// bootTime is the time since the start of the machine, also that in which it was suspended.
func bootTime() time.Duration {
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano())
}

func organisationKey(name string) uint32 {
	return beacon.TargetID(name)
}

func termsOf(o *orgs.Organisation) allot.Terms {
	return allot.Terms{PerSecond: o.PerSecond, Burst: o.Burst}
}

// admit decides whether a request is within the allotment of its organisation. It returns
// when the request was admitted.
func (s *service) admit(ctx context.Context, request *route.Request) (time.Duration, error) {
	if !request.Organisation.HasAllotment() {
		return 0, nil
	}
	d, a := s.daemon, s.daemon.allotments
	key := organisationKey(request.Organisation.Name)
	rank := allot.Request{Priority: request.Terms.Priority, IsLate: s.isLate(request)}
	started := bootTime()
	a.mu.Lock()
	verdict := a.spender.Take(started, key, termsOf(request.Organisation), a.spread, rank)
	d.askForTokens(started, verdict == allot.Waiting)
	if verdict == allot.Waiting && a.ownerName == d.settings.Name {
		verdict = a.spender.Resume(started, key, a.spread, false)
	}
	answered := a.answered
	a.mu.Unlock()
	if verdict == allot.Waiting {
		verdict = d.awaitTokens(ctx, key, started, answered)
	}
	switch verdict {
	case allot.Admitted:
		return bootTime(), nil
	case allot.Refused:
		return 0, d.refuseAllotment(request)
	default:
		return 0, fault.Wrap(ctx.Err(), fault.NotRun, http.StatusServiceUnavailable, "CallerGone")
	}
}

// awaitTokens waits for the owner's answer on behalf of a request that arrived at a time, and
// decides on it. The verdict is Waiting if the caller has gone. Answered is closed when tokens
// arrive.
func (d *Daemon) awaitTokens(ctx context.Context, key uint32, arrived time.Duration, answered <-chan struct{}) allot.Verdict {
	a := d.allotments
	timer := time.NewTimer(allotmentRetry)
	defer timer.Stop()
	for {
		select {
		case <-answered:
		case <-timer.C:
			timer.Reset(allotmentRetry)
		case <-ctx.Done():
			a.mu.Lock()
			defer a.mu.Unlock()
			a.spender.Abandon(key)
			return allot.Waiting
		}
		now := bootTime()
		a.mu.Lock()
		verdict := a.spender.Resume(now, key, a.spread, now-arrived >= allot.MaxWait)
		if verdict == allot.Waiting {
			d.askForTokens(now, true)
		}
		answered = a.answered
		a.mu.Unlock()
		if verdict != allot.Waiting {
			return verdict
		}
	}
}

// isLate reports whether an answer can't be within the latency objective any more, because
// the caller has been refused before.
func (s *service) isLate(request *route.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.CanMeetObjective(request.Terms.Class, request.Patience, request.Terms.Objective)
}

// serveAdmitted serves a request if it is within the allotment of its organisation.
func (s *service) serveAdmitted(ctx context.Context, request *route.Request, w http.ResponseWriter) error {
	admitted, err := s.admit(ctx, request)
	if err != nil {
		return err
	}
	err = s.serveRequest(ctx, request, w)
	s.daemon.returnUnused(request, admitted, err)
	return err
}

// returnUnused returns the token of a request that has not run.
func (d *Daemon) returnUnused(request *route.Request, admitted time.Duration, err error) {
	if !request.Organisation.HasAllotment() || !isUnsent(err) {
		return
	}
	d.allotments.mu.Lock()
	defer d.allotments.mu.Unlock()
	d.allotments.spender.Return(bootTime(), admitted, organisationKey(request.Organisation.Name))
}

// refuseAllotment returns the error of a request beyond the allotment. The times at which
// callers are told to return are spread, so that they don't return together.
func (d *Daemon) refuseAllotment(request *route.Request) error {
	o := request.Organisation
	d.metrics.GetOrCreateCounter(fmt.Sprintf("curranttiller_allotment_refused_total{organisation=%q}", o.Name)).Inc()
	now := bootTime()
	a := d.allotments
	a.mu.Lock()
	last, found := a.loggedAt[o.Name]
	isDue := !found || now-last >= allotmentLogPeriod
	if isDue {
		a.loggedAt[o.Name] = now
	}
	owner, isSilent := a.ownerName, a.spender.IsSilent(now)
	a.mu.Unlock()
	if isDue {
		d.requestLog.Warn("allotment of an organisation is reached", slog.String("Organisation", o.Name),
			slog.Float64("PerSecond", o.PerSecond), slog.Float64("Burst", o.Burst), slog.String("Owner", owner), slog.Bool("OwnerIsSilent", isSilent))
		d.events.Add(event.Event{Kind: "AllotmentReached", Cause: o.Name})
	}
	after := time.Duration((0.5 + rand.Float64()) * float64(allotmentRetryAfter))
	return fault.New(fault.NotRun, http.StatusTooManyRequests, "AllotmentReached").WithRetryAfter(after)
}

// askForTokens asks the owner for tokens if that is due; the mutex of the allotments is held.
func (d *Daemon) askForTokens(now time.Duration, isUrgent bool) {
	a := d.allotments
	if a.ownerName == "" {
		a.spender.NoOwner()
		return
	}
	if !isUrgent && now-a.checked < allotmentAskPeriod {
		return
	}
	a.checked = now
	ask, isDue := a.spender.Ask(now)
	if !isDue {
		return
	}
	if a.ownerName == d.settings.Name {
		if answer, isOwner := a.owner.Answer(now, d.settings.Name, ask, a.terms); isOwner {
			a.receive(now, answer)
		}
		return
	}
	facts := []beacon.SharedFact{{Value: ask.Number}}
	for _, demand := range ask.Demands {
		value := uint64(demand.Waiting)<<(2*countBits) | uint64(demand.Ahead)<<countBits | uint64(demand.Held)
		facts = append(facts, beacon.SharedFact{Subject: demand.Key, Value: value})
	}
	d.sendAllotmentFacts(a.ownerAddress, allotmentDemand, facts)
}

func (d *Daemon) sendAllotmentFacts(address, kind string, facts []beacon.SharedFact) {
	message := beacon.Message{Sender: d.settings.Name, Incarnation: d.incarnation}.WithShared(beacon.SharedFacts{Kind: kind, Facts: facts})
	d.sendBeacon(&message, []string{address})
}

// receive applies an answer of the owner; the mutex is held.
func (a *allotments) receive(now time.Duration, answer allot.Answer) {
	if a.spender.Receive(now, answer) {
		close(a.answered)
		a.answered = make(chan struct{})
	}
}

// terms returns the allotment of an organisation; the mutex is held.
func (a *allotments) terms(key uint32) (allot.Terms, bool) {
	terms, found := a.termsByKey[key]
	return terms, found
}

// receiveAllotments handles the messages that concern allotments, and reports whether this is
// one. The sender need not be in the membership table, because an owner in another failure
// domain may not have its row. A question is answered to the address that it came from.
func (d *Daemon) receiveAllotments(m *beacon.Message) bool {
	isHandled := false
	for i := range m.Shared {
		facts := m.Shared[i].Facts
		if len(facts) == 0 {
			continue
		}
		switch m.Shared[i].Kind {
		case allotmentDemand:
			isHandled = true
			d.answerDemand(m, facts)
		case allotmentAnswer:
			isHandled = true
			answer := allot.Answer{Number: facts[0].Value}
			for _, f := range facts[1:] {
				answer.Given = append(answer.Given, allot.Given{Key: f.Subject, Tokens: int(f.Value >> 1), IsScarce: f.Value&1 > 0})
			}
			d.allotments.mu.Lock()
			d.allotments.receive(bootTime(), answer)
			d.allotments.mu.Unlock()
		}
	}
	return isHandled
}

// answerDemand answers a question of another host if this host is the owner.
func (d *Daemon) answerDemand(m *beacon.Message, facts []beacon.SharedFact) {
	ask := allot.Ask{Number: facts[0].Value}
	for _, f := range facts[1:] {
		ask.Demands = append(ask.Demands, allot.Demand{
			Key: f.Subject, Held: int(f.Value & countMask), Ahead: int(f.Value >> countBits & countMask), Waiting: int(f.Value >> (2 * countBits) & countMask),
		})
	}
	a := d.allotments
	a.mu.Lock()
	answer, isOwner := a.owner.Answer(bootTime(), fmt.Sprint(m.Sender, " ", m.Incarnation), ask, a.terms)
	a.mu.Unlock()
	if !isOwner {
		return
	}
	reply := []beacon.SharedFact{{Value: answer.Number}}
	for _, given := range answer.Given {
		value := uint64(given.Tokens) << 1
		if given.IsScarce {
			value |= 1
		}
		reply = append(reply, beacon.SharedFact{Subject: given.Key, Value: value})
	}
	d.sendAllotmentFacts(m.From, allotmentAnswer, reply)
}

// tickAllotments updates the view of the owner and asks for tokens. The beacon loop calls it.
// It does nothing unless an organisation has an allotment.
func (d *Daemon) tickAllotments(now time.Time) {
	a := d.allotments
	boot := bootTime()
	d.mu.Lock()
	var registry *orgs.Registry
	if d.routes != nil {
		registry = d.routes.Organisations()
	}
	a.mu.Lock()
	a.setRegistry(registry)
	isUsed := len(a.termsByKey) > 0
	a.mu.Unlock()
	if !isUsed {
		d.mu.Unlock()
		return
	}
	name, address := d.allotmentOwner(now)
	spread, reach := d.allotmentSpread(now, boot)
	isLeaving := d.draining.Load()
	d.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if name != a.ownerName {
		d.log.Info("owner of the allotments changed", "Owner", name, "Before", a.ownerName)
	}
	a.ownerName, a.ownerAddress, a.spread = name, address, spread
	a.owner.Tick(boot, name == d.settings.Name && !isLeaving, reach, spread.Known <= 1)
	d.askForTokens(boot, false)
}

// setRegistry reads the allotments of a new version of the configuration; the mutex is held.
func (a *allotments) setRegistry(registry *orgs.Registry) {
	if registry == a.registry {
		return
	}
	a.registry = registry
	a.termsByKey = make(map[uint32]allot.Terms)
	for _, o := range registry.Organisations() {
		if o.HasAllotment() {
			a.termsByKey[organisationKey(o.Name)] = termsOf(o)
		}
	}
}

// allotmentOwner returns the owner of the allotments in this host's view, with its beacon
// address: the steered host whose process has run longest. A host that joins or is restarted
// does not become the owner then. Only hosts whose rows all hosts have are considered. There
// is none before the membership table has settled; d.mu is held.
func (d *Daemon) allotmentOwner(now time.Time) (name, address string) {
	oldest := uint64(0)
	for _, h := range listedByAll(d.steeredHosts) {
		m, found := d.members.Lookup(now, h.Name)
		if found && (oldest == 0 || m.Incarnation < oldest) {
			oldest, name, address = m.Incarnation, m.Name, m.BeaconAddress
		}
	}
	return name, address
}

// listedByAll returns the steered hosts that are in the tables of all hosts.
func listedByAll(steered []steer.Host) []steer.Host {
	listed := make([]steer.Host, 0, len(steered))
	count := make(map[string]int)
	for _, h := range steer.ByCapacity(steered) {
		if count[h.FailureDomain]++; count[h.FailureDomain] <= strongestShared {
			listed = append(listed, h)
		}
	}
	return listed
}

// allotmentSpread returns among how many hosts the reserves are divided, and which part of
// the hosts that would be steered if all known hosts were alive are alive; d.mu is held.
func (d *Daemon) allotmentSpread(now time.Time, boot time.Duration) (spread allot.Spread, reach float64) {
	a := d.allotments
	if a.knownSteered == nil || boot-a.knownSteeredAt >= knownSteeredPeriod {
		a.knownSteeredAt = boot
		a.knownSteered = d.selectKnownSteered(now)
	}
	alive := 0
	for _, name := range a.knownSteered {
		if m, found := d.members.Lookup(now, name); found && m.State == member.Alive {
			alive++
		}
		spread.IsSteered = spread.IsSteered || name == d.settings.Name
	}
	spread.Steered, spread.Known = len(a.knownSteered), d.knownHosts
	if spread.Steered == len(d.members.Members(now)) {
		// All hosts are steered, also those that are not in the table.
		spread.Steered = max(spread.Steered, spread.Known)
	}
	if !d.joinPhase.IsOver() {
		spread.Steered = max(spread.Steered, d.neededHosts())
	}
	return spread, float64(alive) / float64(max(len(a.knownSteered), 1))
}

// neededHosts estimates the number of steered hosts while most hosts are still unknown: as many
// as have the slots of all targets if their capacity is that of this host; d.mu is held.
func (d *Daemon) neededHosts() int {
	slots := 0
	for i := range d.listedHosts {
		slots += d.listedHosts[i].Slots
	}
	capacity := max(d.settings.Capacity(), 1)
	return max((slots+capacity-1)/capacity, d.settings.SteeredHosts)
}

// selectKnownSteered returns the names of the hosts that would be steered if all known hosts
// were alive; d.mu is held.
func (d *Daemon) selectKnownSteered(now time.Time) []string {
	var known []steer.Host
	for _, m := range d.members.Members(now) {
		if !m.Leaving {
			known = append(known, m.Host())
		}
	}
	return hostNames(d.selectSteered(known))
}
