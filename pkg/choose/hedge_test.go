package choose_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// hedgingPool returns a pool with a share of early hedges, in which one request in flight at
// the target "first" has learned its slowdown only after it was sent. Ten fast targets are open.
func hedgingPool(share float64, change func(r *choose.Request)) (*choose.Pool, time.Time) {
	settings := speedSettings
	settings.HedgeShare, settings.ExtraAttemptShare, settings.ExtraBurst = share, 1, 40
	pool := choose.New(settings, 1, testStart)
	names := strings.Fields("first b c d e f g h i j k")
	targets := make([]choose.Target, 0, len(names))
	for _, name := range names {
		targets = append(targets, choose.Target{Name: name, FailureDomain: "a", Slots: 2})
	}
	pool.SetTargets(testStart, targets[:1])
	pool.Probed(testStart, "first", &choose.Report{Slowdown: 1})
	for id := range uint64(30) {
		grant := arrive(pool, testStart, id, nil).Grants[0]
		now := testStart.Add(100 * time.Millisecond)
		pool.Finish(now, id, grant.Attempt, choose.Outcome{Kind: choose.Answered, Latency: 100 * time.Millisecond, Report: &choose.Report{Slowdown: 1}})
		pool.Release(now, id)
	}
	sent := testStart.Add(110 * time.Millisecond)
	arrive(pool, sent, 100, change)
	pool.SetTargets(sent, targets)
	now := sent.Add(20 * time.Millisecond)
	for _, t := range targets {
		report := &choose.Report{Slowdown: 1}
		if t.Name == "first" {
			report.Slowdown = 7
		}
		pool.Probed(now, t.Name, report)
	}
	return pool, now
}

func TestEarlyHedgeOfRequestAtSlowedTarget(t *testing.T) {
	tests := []struct {
		name   string
		share  float64
		change func(r *choose.Request)
		// prepare may change the pool before the tick.
		prepare func(pool *choose.Pool, now time.Time)
		want    int
	}{
		{name: "answer will be late", share: 0.1, want: 1},
		{name: "no share", share: 0},
		{name: "share not earned yet", share: 0.02},
		{name: "runs once", share: 0.1, change: func(r *choose.Request) { r.Idempotent = false }},
		{name: "retried upstream already", share: 0.1, change: func(r *choose.Request) { r.NoExtraAttempts = true }},
		{name: "only one attempt", share: 0.1, change: func(r *choose.Request) { r.AttemptsAtMost = 1 }},
		{name: "objective leaves time for the slow answer", share: 0.1, change: func(r *choose.Request) {
			r.Objective, r.Deadline = 2*time.Second, r.Deadline.Add(2*time.Second)
		}},
		{name: "second attempt would be late too", share: 0.1, change: func(r *choose.Request) { r.Objective = 60 * time.Millisecond }},
		{name: "few targets open", share: 0.1, prepare: func(pool *choose.Pool, now time.Time) {
			for id := range uint64(16) {
				arrive(pool, now, 200+id, nil)
			}
		}},
		{name: "other targets slow too", share: 0.1, prepare: func(pool *choose.Pool, now time.Time) {
			for _, name := range strings.Fields("b c d e f g h i j k") {
				pool.Probed(now.Add(time.Millisecond), name, &choose.Report{Slowdown: 5})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool, now := hedgingPool(tt.share, tt.change)
			if tt.prepare != nil {
				tt.prepare(pool, now)
			}
			now = now.Add(2 * time.Millisecond)
			grants := pool.Tick(now).Grants
			is.Equal(len(grants), tt.want)
			for _, grant := range grants {
				is.Equal(grant.Request, uint64(100))
				is.True(grant.Target != "first")
				is.True(strings.HasPrefix(grant.Cause, choose.CauseHedge))
			}
			is.Equal(len(pool.Tick(now.Add(time.Millisecond)).Grants), 0) // one second attempt at most
		})
	}
}

// envelopes is a workload of status checks and orders at targets of which three in ten are
// slow for half a second at a time.
func envelopes(load float64) workload {
	const ms = time.Millisecond
	return workload{
		hosts: 8, targets: 30, domains: 4, slots: 4, queue: 16,
		slowShare: 0.3, slowFactor: 7, period: 500 * ms, saturationSlowdown: 1.3,
		load: load, length: 10 * time.Second,
		classes: []requestClass{
			{name: "status", perSecond: 120, work: 100 * ms, objective: 300 * ms, deadline: 1500 * ms, priority: 1, value: 1, idempotent: true},
			{name: "send", perSecond: 66, work: 140 * ms, objective: 400 * ms, deadline: 2500 * ms, priority: 1, value: 2},
		},
	}
}

// TestEarlyHedgesCutLateAnswers replays targets that slow down. With a share of early hedges,
// a quarter fewer status checks may be late, orders may not suffer, and the extra attempts
// stay within the share. In a burst, in which the slots are needed, there are hardly any.
func TestEarlyHedgesCutLateAnswers(t *testing.T) {
	ailing := envelopes(1)
	ailing.ailing, ailing.ailingFactor, ailing.ailingFrom = 5, 5, 2*time.Second
	tests := []struct {
		name     string
		workload workload
		share    float64
		// lateAtMost is the number of late answers relative to that without hedges.
		lateAtMost float64
	}{
		{name: "slow spells, share 0.02", workload: envelopes(1), share: 0.02, lateAtMost: 0.75},
		{name: "slow spells at twice the load, share 0.05", workload: envelopes(2), share: 0.05, lateAtMost: 0.75},
		{name: "a sixth of the targets five times slower, share 0.05", workload: ailing, share: 0.05, lateAtMost: 0.75},
		{name: "three times the load, share 0.1", workload: envelopes(3), share: 0.1, lateAtMost: 1.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			without, _, _ := replayed(tt.workload, 3)
			hedges := 0
			tt.workload.settings = func(settings *choose.Settings) { settings.HedgeShare = tt.share }
			tt.workload.hedged = func() { hedges++ }
			with, _, all := replayed(tt.workload, 3)
			const hostsBurst = 8 * 3 * 3 // three tokens at each host in each replay
			late := func(r *classResult) float64 { return 1 - r.timely() }
			t.Logf("late or failed: status %.4f to %.4f, orders %.4f to %.4f; %d hedges of %d requests", late(without["status"]), late(with["status"]), late(without["send"]), late(with["send"]), hedges, all.arrived)
			is.True(late(with["status"]) <= tt.lateAtMost*late(without["status"]))
			is.True(late(with["send"]) <= 1.1*late(without["send"])+0.01)
			is.True(float64(hedges) <= tt.share*float64(all.arrived)*1.1+hostsBurst)
		})
	}
}
