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

// renderFacts returns the keys and values of a topic as text.
func renderFacts(t *facts.Topic) string {
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
		// through is the offset that the topic must have reached.
		through uint64
	}{
		{name: "newer record wins", deltas: []facts.Delta{{Through: 3, Facts: []facts.Fact{set("a", 2, "new"), set("a", 1, "old")}}}, want: "a=new ", through: 3},
		{name: "late delta does not restore a removed key", deltas: []facts.Delta{
			{Through: 5, Facts: []facts.Fact{set("a", 1, "x"), removed("a", 4)}},
			{Through: 2, Facts: []facts.Fact{set("a", 1, "x")}},
		}, want: "", through: 5},
		{name: "snapshot removes the keys that it lacks", deltas: []facts.Delta{
			{Through: 3, Facts: []facts.Fact{set("a", 1, "x"), set("b", 2, "y")}},
			{Through: 9, IsSnapshot: true, Facts: []facts.Fact{set("b", 2, "y")}},
		}, want: "b=y ", through: 9},
		{name: "snapshot of a later era replaces the topic", deltas: []facts.Delta{
			{Through: 9, Facts: []facts.Fact{set("a", 8, "lost"), set("b", 2, "y")}},
			{Era: 1, Through: 4, IsSnapshot: true, Facts: []facts.Fact{set("b", 2, "y"), set("c", 3, "z")}},
			{Era: 1, Through: 6, Facts: []facts.Fact{set("a", 4, "again"), removed("c", 5)}},
		}, want: "a=again b=y ", through: 6},
		{name: "deltas of an earlier era are ignored", deltas: []facts.Delta{
			{Era: 2, Through: 3, IsSnapshot: true, Facts: []facts.Fact{set("a", 2, "x")}},
			{Era: 1, Through: 9, IsSnapshot: true, Facts: []facts.Fact{set("a", 8, "lost")}},
			{Era: 1, Through: 9, Facts: []facts.Fact{set("b", 7, "lost")}},
		}, want: "a=x ", through: 3},
		{name: "changes of a later era need a snapshot first", deltas: []facts.Delta{
			{Through: 3, Facts: []facts.Fact{set("a", 2, "x")}},
			{Era: 1, Through: 5, Facts: []facts.Fact{set("a", 4, "other")}},
		}, want: "a=x ", through: 3},
		{name: "older snapshot removes nothing", deltas: []facts.Delta{
			{Through: 9, Facts: []facts.Fact{set("a", 8, "x")}},
			{Through: 5, IsSnapshot: true},
		}, want: "a=x ", through: 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			topic := facts.NewTopic()
			for i := range test.deltas {
				topic.Apply(start, &test.deltas[i])
			}
			is.Equal(renderFacts(topic), test.want)
			is.Equal(topic.Through(), test.through)
		})
	}
}

// TestOldRemovalIsDroppedAndNotUndone checks that a late delta cannot restore a key
// whose removal is no longer stored.
func TestOldRemovalIsDroppedAndNotUndone(t *testing.T) {
	is := is.New(t)
	topic := facts.NewTopic()
	topic.Apply(start, &facts.Delta{Through: 5, Facts: []facts.Fact{set("a", 1, "x"), removed("a", 4)}})
	later := start.Add(2 * time.Minute)
	topic.Apply(later, &facts.Delta{Through: 6, Facts: []facts.Fact{set("b", 5, "y")}})
	topic.Apply(later, &facts.Delta{Through: 2, Facts: []facts.Fact{set("a", 1, "x")}})
	is.Equal(renderFacts(topic), "b=y ")
	is.True(topic.Since(later, 2).IsSnapshot) // the delta would otherwise lack the removal
}

// TestHostsConverge has hosts read parts of a topic from the store and from each other
// in a random order. Their facts must be equal once all have read to the end.
func TestHostsConverge(t *testing.T) {
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
		is.Equal(renderFacts(hosts[0]), renderFacts(hosts[1]))
		is.Equal(renderFacts(hosts[1]), renderFacts(hosts[2]))
	}
}

func TestAgeSinceConfirmation(t *testing.T) {
	is := is.New(t)
	topic := facts.NewTopic()
	is.True(!topic.IsLoaded())
	topic.Apply(start, &facts.Delta{Through: 4})
	topic.Confirm(start.Add(time.Second), facts.Extent{Through: 4, Age: 200 * time.Millisecond})
	is.Equal(topic.Age(start.Add(time.Second)), 200*time.Millisecond)
	topic.Confirm(start.Add(2*time.Second), facts.Extent{Through: 3}) // an offset below that of the topic confirms nothing
	is.Equal(topic.Age(start.Add(2*time.Second)), 1200*time.Millisecond)
	topic.Confirm(start.Add(2*time.Second), facts.Extent{Era: 1, Through: 4}) // another era confirms nothing
	is.Equal(topic.Age(start.Add(2*time.Second)), 1200*time.Millisecond)
	topic.MarkStale(start.Add(2*time.Second), time.Minute)
	is.Equal(topic.Age(start.Add(2*time.Second)), time.Minute)
}

// TestAgeNeverShrinksInCircle guards against hosts that confirm each other's copies while none
// reads the store. Messages wait at slow hosts, which the age that they state leaves out.
func TestAgeNeverShrinksInCircle(t *testing.T) {
	const (
		step    = 10 * time.Millisecond
		maxWait = 300 * time.Millisecond
		hosts   = 5
	)
	type message struct {
		to     int
		at     time.Time
		extent facts.Extent
	}
	for seed := range uint64(20) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		topics := make([]*facts.Topic, hosts)
		for i := range topics {
			// Each host has read the store once, the last one at start.
			topics[i] = facts.NewTopic()
			topics[i].Apply(start.Add(time.Duration(i-hosts+1)*step), &facts.Delta{Through: 4, IsSnapshot: true, Read: facts.Read{By: uint32(i + 1), Number: 7}})
		}
		var sent []message
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
			for i, topic := range topics {
				wait := time.Duration(rng.Float64() * float64(maxWait))
				sent = append(sent, message{to: (i + 1 + rng.IntN(hosts-1)) % hosts, at: now.Add(wait), extent: topic.Extent(now)})
			}
			waiting := sent[:0]
			for _, m := range sent {
				if m.at.After(now) {
					waiting = append(waiting, m)
					continue
				}
				topics[m.to].Confirm(now, m.extent)
			}
			sent = waiting
			for _, topic := range topics {
				// A read reaches each host over at most all others.
				is.True(topic.Age(now) >= now.Sub(start)-(hosts-1)*maxWait)
			}
		}
	}
}

func TestReadScheduleGrowsWithRank(t *testing.T) {
	is := is.New(t)
	schedule := facts.ReadSchedule{Period: 400 * time.Millisecond, Grace: 400 * time.Millisecond, Step: 100 * time.Millisecond, Max: time.Second}
	is.Equal(schedule.RankedReadAge(0), 400*time.Millisecond)
	is.Equal(schedule.RankedReadAge(1), 800*time.Millisecond)
	is.Equal(schedule.RankedReadAge(50), time.Second)
	schedule.Spread = 400 * time.Millisecond
	schedule.StartupMax = 4 * time.Second
	is.Equal(schedule.UnrankedReadAge(0, true), time.Second)
	is.Equal(schedule.UnrankedReadAge(0.5, true), 1200*time.Millisecond)
	is.Equal(schedule.UnrankedReadAge(0.5, false), 4200*time.Millisecond)
}
