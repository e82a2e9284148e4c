package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// usersBound is how long a change of the configuration or of a target may take
// until every host acts on it.
const usersBound = 2 * time.Second

// TestEveryHostReadsBeforeTheUsersBound bounds the age of knowledge when the
// whole line of readers has failed, with room for the read itself.
func TestEveryHostReadsBeforeTheUsersBound(t *testing.T) {
	is := is.New(t)
	const room = 200 * time.Millisecond
	for place := range 20 {
		is.True(readSchedule.Due(place) <= usersBound-room)
	}
	is.True(readSchedule.DueOutside(1, true) <= usersBound-room)
	// The next in line leaves the first one the time of a read without news.
	is.True(readSchedule.Due(1) >= readSchedule.Period+storeWait+room)
}

// TestSlowReaderDoesNotConfirm has a reader that gets the processor late: the
// next in line must see the age of what it read.
func TestSlowReaderDoesNotConfirm(t *testing.T) {
	tests := []struct {
		name       string
		took, wait time.Duration
		records    int
		want       time.Duration
	}{
		{name: "no news within the wait", took: 804 * time.Millisecond, wait: 800 * time.Millisecond, want: 4 * time.Millisecond},
		{name: "no news, read late", took: 1900 * time.Millisecond, wait: 800 * time.Millisecond, want: 1100 * time.Millisecond},
		{name: "without a wait", took: 5 * time.Millisecond, want: 5 * time.Millisecond},
		{name: "news during the wait", took: 300 * time.Millisecond, wait: 800 * time.Millisecond, records: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(replyAge(test.took, test.wait, test.records), test.want)
		})
	}
}

// TestNewsThatComeSlowlyAreReadFromTheStore has another host know more than it gets to tell.
func TestNewsThatComeSlowlyAreReadFromTheStore(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		behind time.Duration
		want   bool
	}{
		{name: "nobody knows more"},
		{name: "told just now", behind: 100 * time.Millisecond},
		{name: "still not told", behind: behindMax, want: true},
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

// TestFreshHostsGiveTheLineTime has hundreds of hosts start together: what they
// know is 1.8 s old when they have met the others, and the line has just begun to read.
func TestFreshHostsGiveTheLineTime(t *testing.T) {
	const age = 1800 * time.Millisecond
	tests := []struct {
		name string
		// settled is how long ago the host met the others; negative if it has not.
		settled time.Duration
		want    bool
	}{
		{name: "has not met the others", settled: -1},
		{name: "met them just now", settled: 100 * time.Millisecond},
		{name: "met them long ago and hears nothing", settled: time.Minute, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			f := newFollowedTopic(TopicTargets, "a")
			f.topic.Apply(now, &facts.Delta{Through: 1, Age: age})
			d := &Daemon{jitter: 1, settling: member.NewSettling(now.Add(-time.Hour), false)}
			if tt.settled >= 0 {
				d.settling.Note(now.Add(-tt.settled), nil)
			}
			is.Equal(d.isReadDue(f), tt.want)
		})
	}
}
