package allot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/allot"
)

// loneHost is the only host of a fleet, with an organisation that may have 100 requests a second.
type loneHost struct {
	owner   *allot.Owner
	spender *allot.Spender
	terms   allot.Terms
}

func newLoneHost(burst float64) *loneHost {
	rng := rand.New(rand.NewPCG(1, 1))
	return &loneHost{owner: allot.NewOwner(), spender: allot.NewSpender(-time.Hour, 1, rng.Float64), terms: allot.Terms{PerSecond: 100, Burst: burst}}
}

// send reports whether a request is admitted.
func (h *loneHost) send(now time.Duration, request allot.Request) bool {
	spread := allot.Spread{Steered: 1, Known: 1, IsSteered: true}
	h.owner.Tick(now, true, 1, true)
	verdict := h.spender.Take(now, 1, h.terms, spread, request)
	if ask, isDue := h.spender.Ask(now); isDue {
		answer, isOwner := h.owner.Answer(now, "entry1", ask, func(uint32) (allot.Terms, bool) { return h.terms, true })
		if isOwner {
			h.spender.Receive(now, answer)
		}
	}
	if verdict == allot.Waiting {
		verdict = h.spender.Resume(now, 1, spread, true)
	}
	return verdict == allot.Admitted
}

// TestLateRequestsGetNoScarceTokens checks that callers that return late take no tokens from
// others while too many requests arrive, and that they are served otherwise.
func TestLateRequestsGetNoScarceTokens(t *testing.T) {
	is := is.New(t)
	h := newLoneHost(0)
	served := map[bool]int{}
	send := func(now time.Duration, isLate bool) {
		if h.send(now, allot.Request{IsLate: isLate}) {
			served[isLate]++
		}
	}
	h.owner.Tick(0, true, 1, true)
	for now := time.Second; now < 10*time.Second; now += 10 * time.Millisecond {
		for i := range 6 {
			send(now, i%2 == 0)
		}
	}
	t.Logf("served while scarce, by whether they were late: %v", served)
	is.True(served[false] > 850)
	is.True(served[true] < 50)
	for now := 12 * time.Second; now < 14*time.Second; now += 20 * time.Millisecond {
		send(now, true)
	}
	is.True(served[true] >= 95)
}

// TestUrgentRequestsGetScarceTokens replays an organisation that sends several times its
// allotment, with requests of three priorities. The most urgent ones are served first, and no
// token is left over.
func TestUrgentRequestsGetScarceTokens(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	h := newLoneHost(100)
	var sent, served [3]int
	h.owner.Tick(0, true, 1, true)
	for now := time.Second; now < 20*time.Second; now += 5 * time.Millisecond {
		// 100 requests a second arrive, and later 600: a sixth, a third and half of them.
		arrivals := rng.IntN(2)
		if now > 5*time.Second {
			arrivals = 3
		}
		for range arrivals {
			priority := [6]int{0, 1, 1, 2, 2, 2}[rng.IntN(6)]
			isAdmitted := h.send(now, allot.Request{Priority: priority})
			if now <= 7*time.Second {
				continue
			}
			sent[priority]++
			if isAdmitted {
				served[priority]++
			}
		}
	}
	t.Logf("sent %v, served %v by priority", sent, served)
	is.True(served[0]+served[1]+served[2] >= 13*95)
	is.True(float64(served[0]) > 0.6*float64(sent[0]))
	is.True(float64(served[1])/float64(sent[1]) < float64(served[0])/float64(sent[0]))
	is.True(float64(served[2]) < 0.1*float64(sent[2]))
}
