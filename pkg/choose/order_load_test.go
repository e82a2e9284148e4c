package choose_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/choose"
)

// organisations returns a number of organisations of which the k-th has a share of the
// requests in proportion to k to the power of -1.2.
func organisations(count int) []organisation {
	list := make([]organisation, count)
	sum := 0.0
	for i := range list {
		list[i] = organisation{name: fmt.Sprintf("o%02d", i), share: math.Pow(float64(i+1), -1.2)}
		sum += list[i].share
	}
	for i := range list {
		list[i].share /= sum
	}
	return list
}

// rosterDesk is a workload of reads and orders of many organisations.
func rosterDesk(load float64) workload {
	const ms = time.Millisecond
	return workload{
		hosts: 8, targets: 57, domains: 3, slots: 6, queue: 24,
		slowShare: 0.3, slowFactor: 7, period: 500 * ms, saturationSlowdown: 1.3,
		load: load, length: 10 * time.Second, organisations: organisations(20),
		classes: []requestClass{
			{name: "view", perSecond: 162, work: 250 * ms, objective: 600 * ms, deadline: 6000 * ms, limit: 3000 * ms, priority: 1, value: 0.83, idempotent: true},
			{name: "swap", perSecond: 65, work: 320 * ms, objective: 800 * ms, deadline: 8000 * ms, limit: 4000 * ms, priority: 1, value: 1.7},
		},
	}
}

// ledgerHall is a workload of urgent reads and of downloads, which are less urgent.
func ledgerHall() workload {
	const ms = time.Millisecond
	return workload{
		hosts: 8, targets: 29, domains: 3, slots: 6, queue: 24,
		slowShare: 0.3, slowFactor: 7, period: 500 * ms, saturationSlowdown: 1.3,
		load: 3, length: 10 * time.Second, organisations: organisations(20),
		classes: []requestClass{
			{name: "download", perSecond: 77.6, work: 200 * ms, objective: 2000 * ms, deadline: 8000 * ms, priority: 2, value: 0.42, idempotent: true},
			{name: "check", perSecond: 165, work: 100 * ms, objective: 250 * ms, deadline: 3000 * ms, limit: 1500 * ms, value: 3.2, idempotent: true},
		},
	}
}

const (
	// calm is the time before the surges of the replays. The hosts learn in it what is usual.
	calm     = 4 * time.Second
	surgeEnd = 10 * time.Second
)

func surgeOf(class, organisation string, factor float64) surge {
	return surge{class: class, organisation: organisation, factor: factor, from: calm, to: surgeEnd}
}

// with returns the workload with the given surges.
func (w workload) with(surges ...surge) workload {
	w.surges = surges
	return w
}

// impatientCallers lets three in ten callers return at once after a refusal, three times.
func (w workload) impatientCallers() workload {
	w.impatient, w.repeats = 0.3, 3
	return w
}

// ailingTargets makes a number of targets take twelve times as long from calm on.
func (w workload) ailingTargets(count int) workload {
	w.ailing, w.ailingFactor, w.ailingFrom = count, 12, calm
	return w
}

// replayed returns the results of some replays, by class, by organisation and in all.
func replayed(w workload, replays uint64) (classes, organisations map[string]*classResult, all classResult) {
	classes, organisations = make(map[string]*classResult), make(map[string]*classResult)
	for seed := range replays {
		s := replay(w, seed+1)
		sumResults(classes, s.results)
		sumResults(organisations, s.byOrganisation)
		total := s.total()
		all.add(&total)
	}
	return classes, organisations, all
}

func sumResults(sums, results map[string]*classResult) {
	for name, result := range results {
		if sums[name] == nil {
			sums[name] = &classResult{}
		}
		sums[name].add(result)
	}
}

// TestUrgentRequestsDoNotPayForOthers replays surges of the classes of one service. The share
// of urgent reads that are answered within their objective may fall by no more than a tenth
// because of less urgent ones, and no class may be served less than a quarter as often as all.
func TestUrgentRequestsDoNotPayForOthers(t *testing.T) {
	onlyUrgent := ledgerHall()
	onlyUrgent.classes = onlyUrgent.classes[1:]
	tests := []struct {
		name string
		// workload is compared with alone, in which there are no less urgent requests.
		workload, alone workload
	}{
		{name: "usual load", workload: ledgerHall(), alone: onlyUrgent},
		{name: "downloads at 2.6 times", workload: ledgerHall().with(surgeOf("download", "", 2.6)), alone: onlyUrgent},
		{
			name:     "urgent reads at 1.8 times, impatient callers",
			workload: ledgerHall().with(surgeOf("check", "", 1.8)).impatientCallers(),
			alone:    onlyUrgent.with(surgeOf("check", "", 1.8)).impatientCallers(),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			classes, _, all := replayed(tt.workload, 3)
			alone, _, _ := replayed(tt.alone, 3)
			t.Logf("urgent reads in time %.3f, alone %.3f; downloads served %.3f, all %.3f", classes["check"].timely(), alone["check"].timely(), classes["download"].served(), all.served())
			is.True(classes["check"].timely() >= 0.9*alone["check"].timely())
			for _, class := range classes {
				is.True(class.served() >= all.served()/4)
			}
		})
	}
}

// TestOrganisationsDoNotPayForHotOne replays an organisation that sends 7.5 times its usual.
// The others must be served nine tenths as often as without it, and it must be served a
// quarter as often as all.
func TestOrganisationsDoNotPayForHotOne(t *testing.T) {
	tests := []struct {
		name string
		// priority is that of the hot organisation; the others have 1.
		priority int
	}{
		{name: "of the same rank", priority: 1},
		{name: "of a higher rank", priority: 0},
		{name: "of a lower rank", priority: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := rosterDesk(2.2)
			for i := range w.organisations {
				w.organisations[i].priority = 1
			}
			w.organisations[0].priority = tt.priority
			_, usual, _ := replayed(w, 3)
			_, organisations, all := replayed(w.with(surgeOf("", "o00", 7.5)), 3)
			t.Logf("hot organisation served %.3f, others %.3f, all %.3f", organisations["o00"].served(), othersOf(organisations).served(), all.served())
			is.True(othersOf(organisations).served() >= 0.9*othersOf(usual).served())
			for _, organisation := range organisations {
				is.True(organisation.served() >= all.served()/4)
			}
		})
	}
}

// othersOf is the result of all organisations but the largest.
func othersOf(organisations map[string]*classResult) *classResult {
	others := &classResult{}
	for name, result := range organisations {
		if name != "o00" {
			others.add(result)
		}
	}
	return others
}

// TestHighRankStandsOutScarcity replays targets of which 40% are twelve times slower without
// saying so. The highest rank must be served at least as often as the lowest, and every
// organisation a quarter as often as all.
func TestHighRankStandsOutScarcity(t *testing.T) {
	is := is.New(t)
	w := rosterDesk(2.8).ailingTargets(23)
	for i := range w.organisations {
		w.organisations[i].priority = i % 2
	}
	_, organisations, all := replayed(w, 3)
	var high, low classResult
	for i, organisation := range w.organisations {
		result := organisations[organisation.name]
		is.True(result.served() >= all.served()/4)
		if i%2 == 0 {
			high.add(result)
		} else {
			low.add(result)
		}
	}
	t.Logf("high rank served %.3f, low rank %.3f, all %.3f", high.served(), low.served(), all.served())
	is.True(high.served() >= low.served())
}

// TestHighRankDoesNotPayForLowRank replays all organisations of the lower rank at 7.5 times
// their usual. Those of the higher rank must be served nine tenths as often as without that.
func TestHighRankDoesNotPayForLowRank(t *testing.T) {
	is := is.New(t)
	w := rosterDesk(2.2)
	var surges []surge
	for i := range w.organisations {
		w.organisations[i].priority = i % 2
		if i%2 == 1 {
			surges = append(surges, surgeOf("", w.organisations[i].name, 7.5))
		}
	}
	_, usual, _ := replayed(w, 3)
	_, organisations, all := replayed(w.with(surges...), 3)
	var high, highUsual classResult
	for i, organisation := range w.organisations {
		is.True(organisations[organisation.name].served() >= all.served()/4)
		if i%2 == 0 {
			high.add(organisations[organisation.name])
			highUsual.add(usual[organisation.name])
		}
	}
	t.Logf("high rank served %.3f, usually %.3f, all %.3f", high.served(), highUsual.served(), all.served())
	is.True(high.served() >= 0.9*highUsual.served())
}

// TestOrdersAvoidFullQueues replays targets that end attempts without an answer while their
// queue is full, at many hosts. Fewer than one order in a hundred may be left in doubt.
func TestOrdersAvoidFullQueues(t *testing.T) {
	tests := []struct {
		name     string
		workload workload
	}{
		{name: "hot organisation", workload: rosterDesk(2.2).with(surgeOf("", "o00", 7.5))},
		{name: "slow targets", workload: rosterDesk(2.8).ailingTargets(23)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.workload.hosts, tt.workload.resetsWhenFull = 24, true
			classes, _, _ := replayed(tt.workload, 1)
			t.Logf("%d of %d orders may have run", classes["swap"].mayHaveRun, classes["swap"].arrived)
			is.True(classes["swap"].mayHaveRun*100 < classes["swap"].arrived)
		})
	}
}

// TestRefusedCallersReturnSpread refuses a crowd at one moment. No more than a third of it may
// return within any fifth of the time over which the returns are spread.
func TestRefusedCallersReturnSpread(t *testing.T) {
	is := is.New(t)
	pool := speedPool(map[string]float64{"only": 1})
	var returns []time.Duration
	for id := range uint64(400) {
		actions := arrive(pool, testStart, id, func(r *choose.Request) { r.Organisation = "a" })
		for _, refusal := range actions.Refusals {
			returns = append(returns, refusal.RetryAfter)
		}
	}
	slices.Sort(returns)
	first, last := returns[0], returns[len(returns)-1]
	for i, from := range returns {
		within := 0
		for _, at := range returns[i:] {
			if at < from+(last-first)/5 {
				within++
			}
		}
		is.True(within*3 <= len(returns))
	}
	is.True(last-first >= 200*time.Millisecond)
}
