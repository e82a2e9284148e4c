package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/steer"
)

// limitTraffic returns the bytes a second that the hosts of a fleet send for a number of
// limits that do not change, as the mean of all hosts and the most of one host.
func limitTraffic(t *testing.T, hosts, steeredCount, limits int) (mean, most float64) {
	t.Helper()
	alive := make([]steer.Host, 0, hosts)
	for i := range hosts {
		capacity := 20
		if i < steeredCount {
			capacity = 100
		}
		alive = append(alive, steer.Host{Name: fmt.Sprintf("entry%03d", i), FailureDomain: fmt.Sprintf("d%d", i%5), Capacity: capacity})
	}
	message := beacon.Message{Sender: "entry001", Incarnation: 1, Sequence: 1}
	without, err := beacon.Encode(&message)
	if err != nil {
		t.Fatal(err)
	}
	listed := beacon.ServiceLimits{Service: "reservas"}
	for i := range limits {
		listed.Targets = append(listed.Targets, beacon.TargetLimit{ID: beacon.TargetID(fmt.Sprint("i-", i)), PerSecond: 3.4, Age: 200 * time.Millisecond})
	}
	message = message.WithLimits([]beacon.ServiceLimits{listed})
	with, err := beacon.Encode(&message)
	if err != nil {
		t.Fatal(err)
	}
	steered := alive[:steeredCount]
	for _, h := range alive {
		plan := steer.NewFanout(h, alive, steered)
		receivers := len(plan.Near) + len(plan.Far) + len(plan.Rest)
		if !plan.IsRelay && h.Capacity < 100 {
			receivers = 0 // sends no periodic beacons
		}
		sent := float64(receivers*(len(with)-len(without))) / (sharingBeaconEvery * topicBeaconPeriod.Seconds())
		mean += sent / float64(hosts)
		most = max(most, sent)
	}
	return mean, most
}

// TestTrafficOfLimits checks that a fleet spends less than a tenth of the 5 kB a second and
// host for control on ten limits.
func TestTrafficOfLimits(t *testing.T) {
	tests := []struct{ hosts, steered int }{
		{hosts: 13, steered: 3},
		{hosts: 100, steered: 8},
		{hosts: 100, steered: 100},
		{hosts: 300, steered: 20},
		{hosts: 300, steered: 300},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d hosts, %d steered", test.hosts, test.steered), func(t *testing.T) {
			is := is.New(t)
			for _, limits := range []int{1, 2, 10} {
				mean, most := limitTraffic(t, test.hosts, test.steered, limits)
				t.Logf("%d limits: %.0f bytes a second and host, %.0f at one host", limits, mean, most)
				is.True(mean < 500)
			}
		})
	}
}

func TestCollectLimitsBoundsBeacons(t *testing.T) {
	is := is.New(t)
	limits := make([]beacon.TargetLimit, 1000)
	for i := range limits {
		limits[i] = beacon.TargetLimit{ID: beacon.TargetID(fmt.Sprint("i-", i)), PerSecond: 1}
	}
	sent := make(map[uint32]bool)
	for turn := range uint64(16) {
		selected := selectLimits([]beacon.ServiceLimits{{Service: "reservas", Targets: limits}}, turn)
		is.True(len(selected[0].Targets) <= maxSharedLimits*3/2)
		for _, l := range selected[0].Targets {
			sent[l.ID] = true
		}
	}
	is.Equal(len(sent), len(limits)) // every limit is in one of the beacons
}
