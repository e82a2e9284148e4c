package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// activationBound is how long a change of the configuration or of a target may take
// until it is active on every host.
const activationBound = 2 * time.Second

// TestEveryHostReadsWithinActivationBound guards against a read schedule that is too
// slow for the bound if all hosts that should read earlier have failed.
func TestEveryHostReadsWithinActivationBound(t *testing.T) {
	is := is.New(t)
	const readTime = 200 * time.Millisecond
	for rank := range 20 {
		is.True(readSchedule.RankedReadAge(rank) <= activationBound-readTime)
	}
	is.True(readSchedule.UnrankedReadAge(1, true) <= activationBound-readTime)
	// The second reader must not start while the first one's read still waits for new records.
	is.True(readSchedule.RankedReadAge(1) >= readSchedule.Period+storeWait+readTime)
}

// TestSlowReadCountsAsOld guards against a reader that the operating system schedules
// late and that reports an old reply as fresh, so that the next reader doesn't take over.
func TestSlowReadCountsAsOld(t *testing.T) {
	tests := []struct {
		name       string
		took, wait time.Duration
		records    int
		want       time.Duration
	}{
		{name: "no records within the wait", took: 804 * time.Millisecond, wait: 800 * time.Millisecond, want: 4 * time.Millisecond},
		{name: "no records, read late", took: 1900 * time.Millisecond, wait: 800 * time.Millisecond, want: 1100 * time.Millisecond},
		{name: "without a wait", took: 5 * time.Millisecond, want: 5 * time.Millisecond},
		{name: "records during the wait", took: 300 * time.Millisecond, wait: 800 * time.Millisecond, records: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(replyAge(test.took, test.wait, test.records), test.want)
		})
	}
}

// TestReadsStoreIfPeerIsSlow guards against a host that waits for newer facts from
// another host that reported a higher offset but doesn't send them.
func TestReadsStoreIfPeerIsSlow(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		behind time.Duration
		want   bool
	}{
		{name: "up to date"},
		{name: "behind for a short time", behind: 100 * time.Millisecond},
		{name: "behind for too long", behind: behindMax, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFollowedTopic(TopicConfiguration, "a")
			f.topic.Apply(now, &facts.Delta{Through: 1})
			if test.behind > 0 {
				f.behindSince = now.Add(-test.behind)
			}
			d := &Daemon{readRank: 1, steeredHosts: make([]steer.Host, 3)}
			is.Equal(d.isReadDue(f), test.want)
		})
	}
}

// TestStartingHostsLeaveReadsToSteeredHosts guards against reads by all of hundreds
// of hosts that start together. Their topics are already 1.8 s old when they have
// joined, and the steered hosts have only begun to read.
func TestStartingHostsLeaveReadsToSteeredHosts(t *testing.T) {
	const age = 1800 * time.Millisecond
	tests := []struct {
		name string
		// settled is how long ago the membership table settled; negative if it has not.
		settled time.Duration
		want    bool
	}{
		{name: "membership has not settled", settled: -1},
		{name: "membership settled just now", settled: 100 * time.Millisecond},
		{name: "membership settled long ago, no confirmation", settled: time.Minute, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			f := newFollowedTopic(TopicTargets, "a")
			f.topic.Apply(now, &facts.Delta{Through: 1, Age: age})
			d := &Daemon{jitter: 1, joinPhase: member.NewJoinPhase(now.Add(-time.Hour), false)}
			if tt.settled >= 0 {
				d.joinPhase.Update(now.Add(-tt.settled), nil)
			}
			is.Equal(d.isReadDue(f), tt.want)
		})
	}
}
