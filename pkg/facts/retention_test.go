package facts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

func TestLapseKeepsWhatWentMissingInAnOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		after  time.Duration
		want   int
	}{
		{name: "short silence", outage: time.Second, after: 0, want: 1},
		{name: "outage", outage: 5 * time.Second, after: 0, want: 2},
		{name: "grace is over", outage: 5 * time.Second, after: 3 * time.Second, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			topic := facts.NewTopic()
			lapse := facts.NewOutageRetention(2*time.Second, 2*time.Second)
			topic.Apply(start, &facts.Delta{Through: 2, Facts: []facts.Fact{set("a", 0, "x"), set("b", 1, "y")}})
			back := start.Add(test.outage)
			lapse.Observe(back, topic)
			topic.Apply(back, &facts.Delta{Through: 3, Facts: []facts.Fact{removed("b", 2)}})
			now := back.Add(test.after)
			is.Equal(lapse.HasExpired(now), test.want == 1 && test.outage > 2*time.Second)
			is.Equal(len(lapse.AddRetained(now, topic.Facts())), test.want)
			is.True(!lapse.HasExpired(now.Add(time.Minute)) || test.want == 2)
		})
	}
}
