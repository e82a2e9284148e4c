package allot_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/allot"
)

// BenchmarkTake measures a request at a host that has tokens.
func BenchmarkTake(b *testing.B) {
	terms := allot.Terms{PerSecond: 1e9, Burst: 1e9}
	owner, spender := allot.NewOwner(), allot.NewSpender(0, 1, rand.Float64)
	owner.Tick(0, true, 1, true)
	spread := allot.Spread{Steered: 1, Known: 1, IsSteered: true}
	now := time.Second
	for b.Loop() {
		now += time.Millisecond
		if spender.Take(now, 1, terms, spread, allot.Request{}) == allot.Waiting {
			ask, _ := spender.Ask(now)
			answer, _ := owner.Answer(now, "entry1", ask, func(uint32) (allot.Terms, bool) { return terms, true })
			spender.Receive(now, answer)
			spender.Resume(now, 1, spread, true)
		}
	}
}

// BenchmarkOwnerAnswer measures the owner's answer to a question for all organisations of
// which each host asks, and the memory that the owner needs.
func BenchmarkOwnerAnswer(b *testing.B) {
	for _, size := range []struct{ hosts, orgs int }{{1, 1}, {13, 77}, {110, 77}, {300, 77}, {300, 1000}} {
		b.Run(fmt.Sprintf("%d hosts, %d organisations", size.hosts, size.orgs), func(b *testing.B) {
			terms := allot.Terms{PerSecond: 100, Burst: 100}
			termsOf := func(uint32) (allot.Terms, bool) { return terms, true }
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			owner := allot.NewOwner()
			owner.Tick(0, true, 1, false)
			now, number := time.Second, uint64(0)
			demands := make([]allot.Demand, 0, size.orgs)
			for i := range min(size.orgs, 77) {
				demands = append(demands, allot.Demand{Key: uint32(i), Held: 1, Waiting: 1, Ahead: 2})
			}
			names := make([]string, 0, size.hosts)
			for i := range size.hosts {
				names = append(names, fmt.Sprint("entry", i))
			}
			for b.Loop() {
				number++
				now += time.Millisecond
				owner.Tick(now, true, 1, false)
				for i := range demands {
					demands[i].Key = uint32((int(number/uint64(size.hosts))*len(demands) + i) % size.orgs)
				}
				owner.Answer(now, names[number%uint64(size.hosts)], allot.Ask{Number: number, Demands: demands}, termsOf)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "kB")
			runtime.KeepAlive(owner)
		})
	}
}
