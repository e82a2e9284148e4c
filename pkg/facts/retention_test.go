package facts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

func TestFactsMissingInOlderCopyAreRetained(t *testing.T) {
	is := is.New(t)
	topic := facts.NewTopic()
	retention := facts.NewOutageRetention(2*time.Second, 2*time.Second)
	topic.Apply(start, &facts.Delta{Through: 2, Facts: []facts.Fact{set("a", 0, "x"), set("b", 1, "y")}})
	retention.Retain(start, topic)
	topic.Apply(start, &facts.Delta{Era: 1, Through: 1, IsSnapshot: true, Facts: []facts.Fact{set("a", 0, "x")}})
	is.Equal(len(retention.AddRetained(start.Add(time.Second), topic.Facts())), 2)
	is.Equal(len(retention.AddRetained(start.Add(3*time.Second), topic.Facts())), 1)
}

// TestFactsRemovedInOutageAreRetained guards against dropping targets whose facts expired
// in the store because they could not renew them during an outage of it.
func TestFactsRemovedInOutageAreRetained(t *testing.T) {
	tests := []struct {
		name        string
		outage      time.Duration
		sinceOutage time.Duration
		// wantFacts is the number of current and retained facts.
		wantFacts int
	}{
		{name: "age below the limit", outage: time.Second, sinceOutage: 0, wantFacts: 1},
		{name: "outage", outage: 5 * time.Second, sinceOutage: 0, wantFacts: 2},
		{name: "after the retention time", outage: 5 * time.Second, sinceOutage: 3 * time.Second, wantFacts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			topic := facts.NewTopic()
			retention := facts.NewOutageRetention(2*time.Second, 2*time.Second)
			topic.Apply(start, &facts.Delta{Through: 2, Facts: []facts.Fact{set("a", 0, "x"), set("b", 1, "y")}})
			storeBackAt := start.Add(test.outage)
			retention.Observe(storeBackAt, topic)
			topic.Apply(storeBackAt, &facts.Delta{Through: 3, Facts: []facts.Fact{removed("b", 2)}})
			now := storeBackAt.Add(test.sinceOutage)
			is.Equal(retention.HasExpired(now), test.wantFacts == 1 && test.outage > 2*time.Second)
			is.Equal(len(retention.AddRetained(now, topic.Facts())), test.wantFacts)
			is.True(!retention.HasExpired(now.Add(time.Minute)) || test.wantFacts == 2) // AddRetained has dropped what had expired
		})
	}
}
