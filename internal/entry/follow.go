package entry

import (
	"context"
	"fmt"
	"math"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// readCheckPeriod is how often a host looks whether it is its turn to read the store.
	readCheckPeriod = 50 * time.Millisecond
	// frequentReaders is the number of hosts in line that look that often; the others come a second later.
	frequentReaders = 2
	// storeWait is how long a read waits at the store for the first record; others must be able to take over within the two seconds that a change may take.
	storeWait = 800 * time.Millisecond
	// storeTimeout is how long a call may take beyond its wait; the store answers in a few ms.
	storeTimeout = 1200 * time.Millisecond
	// storeRetryFirst and storeRetryMost bound the delay after a failed call.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMax   = 1500 * time.Millisecond
	// behindMax is how long a host waits for news that another one has before it reads the store; hosts tell them within 0.2 s at 122 hosts.
	behindMax = 400 * time.Millisecond
	// storeRetryUnsteered is the delay of hosts that callers are not steered to, longer than most outages.
	storeRetryUnsteered = 5 * time.Second
	// outageAge is the age of knowledge from which the store counts as having been out of reach.
	outageAge = 3 * time.Second
	// lapseGrace is how long an entry that lapsed in an outage is kept after it; targets that live register again within two seconds.
	lapseGrace = 2300 * time.Millisecond
	// noRouteMaxAge is the age of the configuration up to which a request without a route is refused for good.
	noRouteMaxAge = 1500 * time.Millisecond
	// sourceStore names the store as the source of facts in log lines.
	sourceStore = "store"
)

// readSchedule states who reads the store when: a change is in force on every host
// within two seconds of its acknowledgement, so nobody waits longer than that.
var readSchedule = facts.Turn{
	Period: 300 * time.Millisecond,
	Grace:  storeWait + 200*time.Millisecond,
	Step:   50 * time.Millisecond,
	Most:   1500 * time.Millisecond,
	Spread: 250 * time.Millisecond,
	// No user asks a host for a change within 3 s of its start.
	Patience: 2500 * time.Millisecond,
}

// followedTopic is a topic with the state of the loop that reads it.
type followedTopic struct {
	name  string
	topic *facts.Topic
	// tree spreads the whole topic over hosts that start together.
	tree  *facts.Tree
	lapse facts.Lapse
	// isFetching says that another host is being asked for changes.
	isFetching bool
	// behindSince is since when another host is known to know more; zero if none does.
	behindSince time.Time
	// isStoreLost says that the last call of the store failed.
	isStoreLost bool
}

func newFollowedTopic(name, failureDomain string) *followedTopic {
	return &followedTopic{name: name, topic: facts.NewTopic(), tree: facts.NewTree(failureDomain), lapse: facts.NewLapse(outageAge, lapseGrace)}
}

// addTopicGauges serves how old and how far the knowledge of each topic is.
func (d *Daemon) addTopicGauges() {
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		d.metrics.NewGauge(fmt.Sprintf("curranttiller_topic_age_seconds{topic=%q}", f.name), func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			if !f.topic.IsKnown() {
				return math.Inf(1)
			}
			return f.topic.Age(time.Now()).Seconds()
		})
	}
	d.metrics.NewGauge("curranttiller_configuration_version", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.routes == nil {
			return 0
		}
		return float64(d.routes.Version())
	})
	d.metrics.NewGauge("curranttiller_steered_hosts", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.steeredHosts))
	})
}

// followTopic reads a topic whenever it is this host's turn.
func (d *Daemon) followTopic(f *followedTopic) {
	retry := storeRetryFirst
	for d.ctx.Err() == nil {
		if !d.isReadDue(f) {
			d.pause(d.timeToReadCheck(f))
			continue
		}
		started := time.Now()
		if err := d.readStore(f); err != nil {
			d.noteStoreFailure(f, err)
			delay, next := d.retryDelay(retry)
			retry = next
			d.pause(delay)
			continue
		}
		retry = storeRetryFirst
		d.pause(readSchedule.Period - time.Since(started))
	}
}

func (d *Daemon) pause(wait time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(max(wait, 0)):
	}
}

// isReadDue reports whether nobody has confirmed a topic for as long as this host waits.
func (d *Daemon) isReadDue(f *followedTopic) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !f.topic.IsKnown() {
		return !d.leavesFirstReadToSeeds(now)
	}
	if !f.behindSince.IsZero() && now.Sub(f.behindSince) >= behindMax {
		// The host that has the news is slow to tell them.
		return true
	}
	due := readSchedule.Due(d.readRank)
	if d.isUnsteered() {
		due = readSchedule.DueOutside(d.jitter, d.receivesFromReaders(now))
	}
	return f.topic.Age(now) >= due
}

// timeToReadCheck is how long a host waits until it looks again whether it is its
// turn; one that knows the topic and is not among the first in line has time.
func (d *Daemon) timeToReadCheck(f *followedTopic) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	isFirst := d.readRank < frequentReaders && !d.isUnsteered()
	if f.topic.IsKnown() && !isFirst {
		return unsteeredPeriod
	}
	return readCheckPeriod
}

// receivesFromReaders reports whether this host has known the hosts in line for long enough to hear from them; d.mu is held.
func (d *Daemon) receivesFromReaders(now time.Time) bool {
	return d.settling.IsOverFor(now, readSchedule.Most)
}

// isUnsteered reports whether callers are not steered to this host; d.mu is held.
func (d *Daemon) isUnsteered() bool {
	return d.readRank >= len(d.steeredHosts)
}

// retryDelay returns the delay after a failed call of the store, and the next one.
func (d *Daemon) retryDelay(retry time.Duration) (now, next time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isUnsteered() && d.ready {
		// The steered hosts find the store's return and tell it.
		return storeRetryUnsteered, storeRetryUnsteered
	}
	return retry, min(2*retry, storeRetryMax)
}

// readStore reads what is new in a topic, or all of it if changes are missing.
func (d *Daemon) readStore(f *followedTopic) error {
	d.mu.Lock()
	from := f.topic.Through()
	isKnown := f.topic.IsKnown()
	wait := time.Duration(0)
	if d.readRank == 0 && isKnown {
		wait = storeWait
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.ctx, wait+storeTimeout)
	defer cancel()
	started := time.Now()
	var delta facts.Delta
	err := ErrTrimmed
	if isKnown {
		delta, err = d.adapter.Store.Changes(ctx, f.name, from, wait)
	}
	if isTrimmed(err) {
		d.log.Info("reading the newest records of a topic", "Topic", f.name, "Known", isKnown, "From", from)
		delta, err = d.adapter.Store.Newest(ctx, f.name)
	}
	d.counters.countStoreCall(f.name, err)
	if err != nil {
		return err
	}
	d.lastLogContact.Store(time.Now().UnixNano())
	delta.Age = replyAge(time.Since(started), wait, len(delta.Facts))
	d.applyDelta(f, &delta, sourceStore)
	return nil
}

// replyAge is how old a reply of the store may be that took a time to come
// and to be read. One without records was sent when the wait was over; a host
// that is slow to read it must not take it for fresh, because the next in line
// would not take over. One with records came when the first of them did.
func replyAge(took, wait time.Duration, records int) time.Duration {
	if records > 0 {
		return 0
	}
	return max(took-wait, 0)
}

func (d *Daemon) noteStoreFailure(f *followedTopic, err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.counters.logErrors.Inc()
	d.mu.Lock()
	isFirst := !f.isStoreLost
	f.isStoreLost = true
	age := f.topic.Age(time.Now())
	d.mu.Unlock()
	if isFirst {
		d.platLog.Warn("store lost; the last facts stay in use", "Topic", f.name, "AgeMillis", age.Milliseconds(), "Error", err.Error())
	}
}

// applyDelta takes facts from the store or from another host and puts them in force.
func (d *Daemon) applyDelta(f *followedTopic, delta *facts.Delta, source string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.isStoreLost && source == sourceStore {
		f.isStoreLost = false
		d.platLog.Info("store regained", "Topic", f.name, "AgeMillis", f.topic.Age(now).Milliseconds())
	}
	f.behindSince = time.Time{}
	wasKnown := f.topic.IsKnown()
	f.lapse.Note(now, f.topic)
	changed := f.topic.Apply(now, delta)
	if source == sourceStore && wasKnown && d.isUnsteered() {
		// Nobody else confirmed the topic; the other hosts need not all read it.
		d.beaconNow()
	}
	if changed || !wasKnown {
		d.platLog.Info("facts changed", "Topic", f.name, "Source", source, "Through", f.topic.Through(), "Facts", len(delta.Facts), "Whole", delta.Whole)
		d.activate(f, now)
		if source == sourceStore || d.forwardsChanges() {
			d.beaconNow()
		}
	}
	d.joinIfTopicsRead()
}

// topicNamed returns a followed topicNamed by name, or nil.
func (d *Daemon) topicNamed(name string) *followedTopic {
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		if f.name == name {
			return f
		}
	}
	return nil
}

// selectSteered lists the hosts that callers are selectSteered to, in the order in which
// they read the store; d.mu is held.
func (d *Daemon) selectSteered(hosts []steer.Host) []steer.Host {
	slots := 0
	for i := range d.hosts {
		slots += d.hosts[i].Slots
	}
	return steer.Strong(hosts, slots, d.settings.SteeredHosts)
}
