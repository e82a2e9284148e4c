package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStandingOfOrganisations sends requests of a usual organisation, of one that then sends
// many times its usual, and of one that is never served.
func TestStandingOfOrganisations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := newAccounts(now)
	const work = 100 * time.Millisecond
	standings := make(map[string]map[standing]int)
	for _, name := range []string{"usual", "hot", "unserved"} {
		standings[name] = make(map[standing]int)
	}
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		send := func(name string) {
			place := a.arrive(now, name, work, false)
			if i >= 1000 {
				standings[name][place]++
			}
			if name != "unserved" {
				a.grant(now, name)
			}
		}
		send("usual")
		if i%8 == 0 || i >= 1000 {
			send("hot")
		}
		if i%20 == 0 {
			send("unserved")
		}
	}
	is.Equal(standings["usual"][within], 1000)
	is.True(standings["hot"][beyond] > 600) // three quarters are beyond 1.5 times the usual, less what was saved
	is.True(standings["hot"][within] > 125) // the usual requests still go before those beyond a share
	is.Equal(standings["unserved"][owed], 50)
}

// TestAccountsAreForgotten guards against accounts of organisations that have gone.
func TestAccountsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := newAccounts(now)
	for i := range 1000 {
		a.arrive(now, fmt.Sprint("o", i), time.Millisecond, false)
	}
	now = now.Add(2 * forgetAfter)
	a.arrive(now, "o1", time.Millisecond, false)
	a.forget(now)
	is.Equal(len(a.byName), 1)
}

// TestRequestsWithoutKnownWork guards against shares that are not numbers, from which an
// organisation would never recover.
func TestRequestsWithoutKnownWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := newAccounts(now)
	now = now.Add(2 * learningTime)
	for _, work := range []time.Duration{0, 0, time.Second, 0} {
		now = now.Add(time.Hour)
		a.arrive(now, "a", work, false)
		a.arrive(now, "a", work, true)
	}
	org := a.byName["a"]
	for _, value := range []float64{org.usual, org.recent, org.saved, a.all.usual, a.all.recent} {
		is.True(value >= 0)
	}
}
