package facts_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

var start = time.Unix(1000, 0)

func set(key string, offset uint64, value string) facts.Fact {
	return facts.Fact{Key: key, Offset: offset, Value: []byte(value)}
}

func removed(key string, offset uint64) facts.Fact {
	return facts.Fact{Key: key, Offset: offset, Removed: true}
}

func keys(t *facts.Topic) string {
	text := ""
	for _, f := range t.Facts() {
		text += f.Key + "=" + string(f.Value) + " "
	}
	return text
}

func TestTopicAppliesDeltas(t *testing.T) {
	tests := []struct {
		name   string
		deltas []facts.Delta
		want   string
		known  uint64
	}{
		{name: "newer record wins", deltas: []facts.Delta{{Through: 3, Facts: []facts.Fact{set("a", 2, "new"), set("a", 1, "old")}}}, want: "a=new ", known: 3},
		{name: "late delta does not bring back", deltas: []facts.Delta{
			{Through: 5, Facts: []facts.Fact{set("a", 1, "x"), removed("a", 4)}},
			{Through: 2, Facts: []facts.Fact{set("a", 1, "x")}},
		}, want: "", known: 5},
		{name: "whole delta removes what it lacks", deltas: []facts.Delta{
			{Through: 3, Facts: []facts.Fact{set("a", 1, "x"), set("b", 2, "y")}},
			{Through: 9, IsSnapshot: true, Facts: []facts.Fact{set("b", 2, "y")}},
		}, want: "b=y ", known: 9},
		{name: "older whole delta removes nothing", deltas: []facts.Delta{
			{Through: 9, Facts: []facts.Fact{set("a", 8, "x")}},
			{Through: 5, IsSnapshot: true},
		}, want: "a=x ", known: 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			topic := facts.NewTopic()
			for i := range test.deltas {
				topic.Apply(start, &test.deltas[i])
			}
			is.Equal(keys(topic), test.want)
			is.Equal(topic.Through(), test.known)
		})
	}
}

func TestOldRemovalIsForgottenAndNotUndone(t *testing.T) {
	is := is.New(t)
	topic := facts.NewTopic()
	topic.Apply(start, &facts.Delta{Through: 5, Facts: []facts.Fact{set("a", 1, "x"), removed("a", 4)}})
	later := start.Add(2 * time.Minute)
	topic.Apply(later, &facts.Delta{Through: 6, Facts: []facts.Fact{set("b", 5, "y")}})
	topic.Apply(later, &facts.Delta{Through: 2, Facts: []facts.Fact{set("a", 1, "x")}})
	is.Equal(keys(topic), "b=y ")
	is.True(topic.Since(later, 2).IsSnapshot) // a host that knows less than the removal gets everything
}

// TestHostsAgree lets hosts read and tell each other in a random order.
func TestHostsAgree(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var log []facts.Fact
		for offset := range uint64(60) {
			key := string(rune('a' + rng.IntN(6)))
			if rng.IntN(3) == 0 {
				log = append(log, removed(key, offset))
			} else {
				log = append(log, set(key, offset, string(rune('0'+rng.IntN(10)))))
			}
		}
		hosts := []*facts.Topic{facts.NewTopic(), facts.NewTopic(), facts.NewTopic()}
		for range 100 {
			reader := hosts[rng.IntN(len(hosts))]
			if rng.IntN(2) == 0 {
				from := reader.Through()
				to := min(from+uint64(rng.IntN(20)), uint64(len(log)))
				reader.Apply(start, &facts.Delta{Through: to, Facts: log[from:to]})
				continue
			}
			delta := hosts[rng.IntN(len(hosts))].Since(start, reader.Through())
			reader.Apply(start, &delta)
		}
		for _, h := range hosts {
			from := h.Through()
			h.Apply(start, &facts.Delta{Through: uint64(len(log)), Facts: log[from:]})
		}
		is := is.New(t)
		is.Equal(keys(hosts[0]), keys(hosts[1])) // seed decides the order only
		is.Equal(keys(hosts[1]), keys(hosts[2]))
	}
}

func TestConfirmedAge(t *testing.T) {
	is := is.New(t)
	topic := facts.NewTopic()
	is.True(!topic.IsLoaded())
	topic.Apply(start, &facts.Delta{Through: 4})
	topic.Confirm(start.Add(time.Second), 4, 200*time.Millisecond)
	is.Equal(topic.Age(start.Add(time.Second)), 200*time.Millisecond)
	topic.Confirm(start.Add(2*time.Second), 3, 0) // a host that knows less confirms nothing
	is.Equal(topic.Age(start.Add(2*time.Second)), 1200*time.Millisecond)
	topic.MarkStale(start.Add(2*time.Second), time.Minute)
	is.Equal(topic.Age(start.Add(2*time.Second)), time.Minute)
}

func TestTurnGrowsWithPlace(t *testing.T) {
	is := is.New(t)
	turn := facts.ReadSchedule{Period: 400 * time.Millisecond, Grace: 400 * time.Millisecond, Step: 100 * time.Millisecond, Max: time.Second}
	is.Equal(turn.RankedDue(0), 400*time.Millisecond)
	is.Equal(turn.RankedDue(1), 800*time.Millisecond)
	is.Equal(turn.RankedDue(50), time.Second)
	turn.Spread = 400 * time.Millisecond
	turn.StartupMax = 4 * time.Second
	is.Equal(turn.UnrankedDue(0, true), time.Second)
	is.Equal(turn.UnrankedDue(0.5, true), 1200*time.Millisecond)
	is.Equal(turn.UnrankedDue(0.5, false), 4200*time.Millisecond)
}
