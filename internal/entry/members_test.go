package entry

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// emptyStore is a store without records.
type emptyStore struct{}

func (emptyStore) Newest(context.Context, string) (facts.Delta, error) { return facts.Delta{}, nil }

func (emptyStore) Changes(context.Context, string, uint64, time.Duration) (facts.Delta, error) {
	return facts.Delta{}, nil
}

func (emptyStore) Announce(context.Context, string, []byte) error { return nil }

func (emptyStore) Close() {}

// TestUnsteeredHostsDoNotResetPools guards against needless work when hundreds of
// weak hosts join: the pools, each with hundreds of targets, must be set up again
// only when the steered hosts change.
func TestUnsteeredHostsDoNotResetPools(t *testing.T) {
	is := is.New(t)
	settings := config.Settings{Name: "self", FailureDomain: "d0", Cores: 1, LinkMbits: 1000, SlotsPerCore: 100, SlotsPerMbit: 1, SteeredHosts: 3, FailAfter: time.Minute, EventsKept: 16}
	loggers, err := logs.New(io.Discard, "self", "")
	is.NoErr(err)
	d := New(&settings, Adapter{Store: emptyStore{}, TargetProtocol: target.NativeProtocol{}}, loggers, time.Now())
	defer d.cancel()
	d.joinPhase = member.NewJoinPhase(time.Now(), true)
	d.listedHosts = []plat.Host{{Name: "t1", Role: plat.RoleTarget, Service: "reservas", Slots: 4, FailureDomain: "d0"}}
	s := newService(d, "reservas", &spec.Document{Service: "reservas", Policy: spec.PolicySpeed, EntryHostsAtMost: 1})
	defer s.close()
	d.services[s.name] = s

	join := func(name string, capacity int) {
		d.members.Merge(time.Now(), []member.Info{{Name: name, Incarnation: 1, FailureDomain: "d1", Capacity: capacity}})
		d.refreshHolders()
	}
	for _, name := range []string{"strong1", "strong2", "strong3"} {
		join(name, 2*settings.Capacity())
	}
	is.Equal(len(s.holders), settings.SteeredHosts)
	holdersBefore := &s.holders[0]
	for i := range 300 {
		join(fmt.Sprint("weak", i), 1)
	}
	is.True(&s.holders[0] == holdersBefore) // the pools were not set up again
	join("stronger", 4*settings.Capacity())
	is.Equal(s.holders[0].Name, "stronger")
}
