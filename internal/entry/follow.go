package entry

import (
	"context"
	"fmt"
	"math"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

const (
	// readCheckPeriod is the time between two checks whether this host must read the store.
	readCheckPeriod = 50 * time.Millisecond
	// frequentReaders is the number of steered hosts, from the first reader, that check that often; the later ones read more than a second after the first one anyway.
	frequentReaders = 2
	// lateReaderCheckPeriod is the time between two checks whether this host must read the store if it has the topic and is not among the first readers.
	lateReaderCheckPeriod = 200 * time.Millisecond
	// storeWait is how long the first reader's call waits at the store for a new record. It is short enough for the second reader, which starts only after it, to read a change within two seconds if the first one fails.
	storeWait = 800 * time.Millisecond
	// storeTimeout is the timeout of a call on top of its wait; the store answers in a few ms.
	storeTimeout = 1200 * time.Millisecond
	// storeRetryFirst and storeRetryMax bound the delay after a failed call, which doubles each time.
	storeRetryFirst = 150 * time.Millisecond
	storeRetryMax   = 1500 * time.Millisecond
	// behindMax is how long a host waits for newer facts from another host before it reads the store itself; with 122 hosts they arrive within 0.2 s.
	behindMax = 400 * time.Millisecond
	// storeRetryUnsteered is the delay after a failed call on an unsteered host that is ready; it is longer than most outages.
	storeRetryUnsteered = 5 * time.Second
	// outageAge is the age of a topic from which the store counts as having been unreachable.
	outageAge = 3 * time.Second
	// outageGrace is how long after an outage a fact stays in use that expired in the store during it; targets that are alive register again within two seconds.
	outageGrace = 2300 * time.Millisecond
	// noRouteMaxAge is the age of the configuration up to which a request that matches no route is refused with NoRoute; with an older one the route may be newer than the configuration.
	noRouteMaxAge = 1500 * time.Millisecond
	// sourceStore is the Source in log lines about facts that came from the store.
	sourceStore = "store"
)

// readSchedule gives the age of a topic at which each host reads the store itself.
// A change must be active on every host within two seconds of its acknowledgement,
// so no host may wait longer than that, except shortly after its start.
var readSchedule = facts.ReadSchedule{
	// Period is the age at which the first reader reads.
	Period: 300 * time.Millisecond,
	// Grace is how much larger than Period the age is from which the second reader reads.
	Grace: storeWait + 200*time.Millisecond,
	// Step is how much larger the age is for each further steered host.
	Step: 50 * time.Millisecond,
	// Max is the largest age for steered hosts, and the smallest for unsteered ones.
	Max: 1500 * time.Millisecond,
	// Spread is the width of the range over which the ages of unsteered hosts are spread.
	Spread: 250 * time.Millisecond,
	// StartupMax replaces Max on an unsteered host that does not expect beacons yet. It may be larger because users don't expect a change to be active on a host within 3 s of its start.
	StartupMax: 2500 * time.Millisecond,
}

// followedTopic is a topic with the state of the loop that reads it, guarded by d.mu.
type followedTopic struct {
	name  string
	topic *facts.Topic
	// tree redirects hosts that start together and ask for the whole topic.
	tree *facts.DistributionTree
	// outageRetention keeps facts for a while that expired in the store during an outage.
	outageRetention facts.OutageRetention
	// isFetching says that a request for facts to another host is in progress.
	isFetching bool
	// behindSince is when another host first reported a higher offset than this
	// host's; zero if this host is up to date.
	behindSince time.Time
	// reads counts the reads of the store by this host.
	reads uint64
	// isStoreLost says that the last call to the store for this topic failed.
	isStoreLost bool
}

func newFollowedTopic(name, failureDomain string) *followedTopic {
	return &followedTopic{name: name, topic: facts.NewTopic(), tree: facts.NewDistributionTree(failureDomain), outageRetention: facts.NewOutageRetention(outageAge, outageGrace)}
}

// addTopicGauges registers gauges of each topic's age, the configuration's version
// and the number of steered hosts.
func (d *Daemon) addTopicGauges() {
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		d.metrics.NewGauge(fmt.Sprintf("curranttiller_topic_age_seconds{topic=%q}", f.name), func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			if !f.topic.IsLoaded() {
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

// followTopic reads a topic from the store whenever isReadDue says so, until the daemon closes.
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

// pause returns after the given time, or as soon as the daemon closes.
func (d *Daemon) pause(wait time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(max(wait, 0)):
	}
}

// isReadDue reports whether this host must read a topic itself, because it lacks the
// topic or newer facts, or because the topic has reached the age that readSchedule
// gives this host.
func (d *Daemon) isReadDue(f *followedTopic) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !f.topic.IsLoaded() {
		return !d.leavesFirstReadToSeeds(now)
	}
	if !f.behindSince.IsZero() && now.Sub(f.behindSince) >= behindMax {
		// The host that has newer facts is slow to send them.
		return true
	}
	due := readSchedule.RankedReadAge(d.readRank)
	if d.isUnsteered() {
		due = readSchedule.UnrankedReadAge(d.jitter, d.expectsBeacons(now))
	}
	return f.topic.Age(now) >= due
}

// timeToReadCheck is the time until the next call of isReadDue. It is longer on a
// host that has the topic and is not among the first readers.
func (d *Daemon) timeToReadCheck(f *followedTopic) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	isFirst := d.readRank < frequentReaders && !d.isUnsteered()
	if f.topic.IsLoaded() && !isFirst {
		return lateReaderCheckPeriod
	}
	return readCheckPeriod
}

// expectsBeacons reports whether the membership table settled so long ago that beacons
// of the steered hosts should have confirmed the topics; d.mu is held.
func (d *Daemon) expectsBeacons(now time.Time) bool {
	return d.joinPhase.IsOverFor(now, readSchedule.Max)
}

// isUnsteered reports whether this host is not among the steered hosts; d.mu is held.
func (d *Daemon) isUnsteered() bool {
	return d.readRank >= len(d.steeredHosts)
}

// retryDelay returns the delay after a failed call to the store, and the value to
// pass after the next failure.
func (d *Daemon) retryDelay(retry time.Duration) (delay, next time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isUnsteered() && d.ready {
		// The steered hosts notice that the store is back and send what is new.
		return storeRetryUnsteered, storeRetryUnsteered
	}
	return retry, min(2*retry, storeRetryMax)
}

// readStore reads the changes of a topic from the store, or the whole topic if this
// host does not have it yet or the store no longer keeps all the changes.
func (d *Daemon) readStore(f *followedTopic) error {
	d.mu.Lock()
	from, era := f.topic.Through(), f.topic.Era()
	isLoaded := f.topic.IsLoaded()
	wait := time.Duration(0)
	if d.readRank == 0 && isLoaded {
		wait = storeWait
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.ctx, wait+storeTimeout)
	defer cancel()
	started := time.Now()
	var delta facts.Delta
	// A topic that is not loaded is read whole, like a trimmed one.
	err := ErrTrimmed
	if isLoaded {
		delta, err = d.adapter.Store.Changes(ctx, f.name, from, wait)
		if err == nil && delta.Era != era {
			// The offset belongs to another era.
			err = ErrTrimmed
		}
	}
	if isTrimmed(err) {
		d.log.Info("reading the newest records of a topic", "Topic", f.name, "Known", isLoaded, "From", from)
		delta, err = d.adapter.Store.Newest(ctx, f.name)
	}
	d.counters.countStoreCall(f.name, err)
	if err != nil {
		return err
	}
	d.lastPlatformRead.Store(time.Now().UnixNano())
	delta.Age = replyAge(time.Since(started), wait, len(delta.Facts))
	delta.Read = d.nextRead(f)
	d.applyDelta(f, &delta, sourceStore)
	return nil
}

// nextRead returns the identity of a read of the store that this host has just done.
func (d *Daemon) nextRead(f *followedTopic) facts.Read {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.reads++
	return facts.Read{By: beacon.TargetID(fmt.Sprint(d.settings.Name, " ", d.incarnation)), Number: f.reads}
}

// replyAge is how old a reply of the store may be when it has been read, for a call
// that took a given time and let the store wait for records. A reply without records
// left the store when the wait was over. A host that is slow to read it must not
// count it as fresh, because the next reader would then not take over. A reply with
// records left when the first of them was appended, and counts as fresh.
func replyAge(took, wait time.Duration, records int) time.Duration {
	if records > 0 {
		return 0
	}
	return max(took-wait, 0)
}

// noteStoreFailure counts a failed call, and logs it if the one before did not fail.
func (d *Daemon) noteStoreFailure(f *followedTopic, err error) {
	if d.ctx.Err() != nil {
		return
	}
	d.counters.readErrors.Inc()
	d.mu.Lock()
	isFirst := !f.isStoreLost
	f.isStoreLost = true
	age := f.topic.Age(time.Now())
	d.mu.Unlock()
	if isFirst {
		d.platLog.Warn("reading the store failed; the last facts stay in use", "Topic", f.name, "AgeMillis", age.Milliseconds(), "Error", err.Error())
	}
}

// applyDelta stores facts from the store or from another host and activates them.
// source is sourceStore or the other host's address.
func (d *Daemon) applyDelta(f *followedTopic, delta *facts.Delta, source string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.isStoreLost && source == sourceStore {
		f.isStoreLost = false
		d.platLog.Info("store is reachable again", "Topic", f.name, "AgeMillis", f.topic.Age(now).Milliseconds())
	}
	f.behindSince = time.Time{}
	wasLoaded := f.topic.IsLoaded()
	// Apply lowers the age by which Observe recognises an outage.
	f.outageRetention.Observe(now, f.topic)
	if f.topic.EndsEra(delta.Era) && delta.IsSnapshot {
		d.endEra(f, delta.Era, now)
	}
	changed := f.topic.Apply(now, delta)
	if source == sourceStore && wasLoaded && d.isUnsteered() {
		// No other host had confirmed the topic. A beacon spares the others their own read.
		d.beaconNow()
	}
	if changed || !wasLoaded {
		d.platLog.Info("facts changed", "Topic", f.name, "Source", source, "Through", f.topic.Through(), "Facts", len(delta.Facts), "Whole", delta.IsSnapshot)
		d.activate(f, now)
		if source == sourceStore || d.forwardsChanges() {
			d.beaconNow()
		}
	}
	d.joinIfTopicsRead()
}

// topicNamed returns the followed topic of that name, or nil.
func (d *Daemon) topicNamed(name string) *followedTopic {
	for _, f := range []*followedTopic{d.configuration, d.targets} {
		if f.name == name {
			return f
		}
	}
	return nil
}

// selectSteered returns which of the hosts are steered, in the order in which they
// read the store; d.mu is held.
func (d *Daemon) selectSteered(alive []steer.Host) []steer.Host {
	slots := 0
	for i := range d.listedHosts {
		slots += d.listedHosts[i].Slots
	}
	return steer.SelectSteered(alive, slots, d.settings.SteeredHosts)
}
