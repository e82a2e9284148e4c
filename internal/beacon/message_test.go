package beacon_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
)

func message() *beacon.Message {
	return &beacon.Message{
		Sender: "entry1", Incarnation: 7, Sequence: 3, Steered: []uint32{5, 9}, WantsObservations: true,
		Topics:   []beacon.TopicExtent{{Topic: "targets", Extent: facts.Extent{Era: 2, Through: 41, Age: 250 * time.Millisecond, Read: facts.Read{By: 9, Number: 5}}}},
		Services: []beacon.ServiceObservations{{Service: "reservas", Targets: []beacon.TargetObservation{{ID: beacon.TargetID("t1"), InFlight: 2, Slowdown: 1.25, SlowdownAge: 30 * time.Millisecond, FailedShare: 0.5}}}},
		Limits: []beacon.ServiceLimits{{Service: "reservas", Targets: []beacon.TargetLimit{
			{ID: beacon.TargetID("t1"), PerSecond: 3.5, Age: 20 * time.Millisecond}, {ID: beacon.TargetID("t2"), Age: time.Second},
		}}},
		Departures: []beacon.ServiceDepartures{{Service: "reservas", Targets: []beacon.TargetDeparture{
			{ID: beacon.TargetID("t1"), StartedUntil: time.UnixMilli(1_700_000_000_123)}, {ID: beacon.TargetID("t2"), StartedUntil: time.UnixMilli(0)},
		}}},
		Shared: []beacon.SharedFacts{{Kind: "Cold", Scope: "reservas", Facts: []beacon.SharedFact{{Subject: beacon.TargetID("t1"), Value: 7, Age: 20 * time.Millisecond}}}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	is := is.New(t)
	encoded, err := beacon.Encode(message())
	is.NoErr(err)
	decoded, err := beacon.Decode(encoded)
	is.NoErr(err)
	is.Equal(&decoded, message())
}

// TestLongSenderIsRejected guards against names of any length that parts of a host keep.
func TestLongSenderIsRejected(t *testing.T) {
	is := is.New(t)
	m := message()
	m.Sender = strings.Repeat("s", 64)
	encoded, err := beacon.Encode(m)
	is.NoErr(err)
	_, err = beacon.Decode(encoded)
	is.NoErr(err)
	m.Sender += "s"
	encoded, err = beacon.Encode(m)
	is.NoErr(err)
	_, err = beacon.Decode(encoded)
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	encoded, err := beacon.Encode(message())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{0x08, 0x02}) // a beacon of protocol version 2
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		_, _ = beacon.Decode(datagram)
	})
}

func TestSocketDeliversAndSkipsMalformed(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.DiscardHandler)
	receiver, err := beacon.Open("127.0.0.1:39417", log)
	is.NoErr(err)
	defer receiver.Close()
	sender, err := beacon.Open("127.0.0.1:39418", log)
	is.NoErr(err)
	defer sender.Close()
	got := make(chan beacon.Message, 1)
	receiver.Start(func(m *beacon.Message) { got <- *m })
	sender.Send("127.0.0.1:39417", []byte("not a beacon"))
	encoded, err := beacon.Encode(message())
	is.NoErr(err)
	sender.Send("127.0.0.1:39417", encoded)
	select {
	case m := <-got:
		is.Equal(m.From, "127.0.0.1:39418")
		m.From = ""
		is.Equal(&m, message())
	case <-t.Context().Done():
		t.Fatal("no beacon arrived")
	}
}
