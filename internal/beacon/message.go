package beacon

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
)

// Protocol is the version of the datagrams.
const Protocol = 1

// percent is the unit of slowdowns on the wire.
const percent = 100

// Message is the content of one datagram.
type Message struct {
	Sender      string
	Incarnation uint64
	// Sequence orders the messages of one incarnation.
	Sequence uint64
	Topics   []TopicExtent
	Services []ServiceObservations
	// Steered are the short forms of the member rows of hosts that callers are steered to.
	Steered []uint32
	// WantsObservations asks for what the receiver sees of the targets near it.
	WantsObservations bool
}

// WithObservations returns the message with what the sender sees of targets.
func (m Message) WithObservations(services []ServiceObservations) Message {
	m.Services = services
	return m
}

// WithSteered returns the message with the hosts that callers are steered to.
func (m Message) WithSteered(steered []uint32) Message {
	m.Steered = steered
	return m
}

// TopicExtent says how far and how recently a topic is known.
type TopicExtent struct {
	Topic   string
	Through uint64
	Age     time.Duration
}

// ServiceObservations is what the sender sees of the targets of a service.
type ServiceObservations struct {
	Service string
	Targets []TargetObservation
}

// TargetObservation is one target as the sender sees it.
type TargetObservation struct {
	// ID is TargetID of the target's name.
	ID       uint32
	InFlight int
	// Slowdown is how many times the usual time work takes, or zero if the sender did not hear of it.
	Slowdown float64
	Age      time.Duration
	// Failed is the share of the sender's requests at the target that failed lately.
	Failed float64
}

// TargetID is the short form of a target's name. Two targets of a service with
// the same one would be told apart badly, which costs speed only.
func TargetID(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Encode returns the datagram of a message.
func Encode(m *Message) ([]byte, error) {
	wire := &peerpb.Beacon{Protocol: Protocol, Sender: m.Sender, Incarnation: m.Incarnation, Sequence: m.Sequence, Steered: m.Steered, WantsSights: m.WantsObservations}
	for _, topic := range m.Topics {
		wire.Topics = append(wire.Topics, &peerpb.TopicExtent{Topic: topic.Topic, Through: topic.Through, AgeMillis: millis(topic.Age)})
	}
	for i := range m.Services {
		wire.Services = append(wire.Services, encodeObservations(&m.Services[i]))
	}
	encoded, err := proto.Marshal(wire)
	return encoded, eris.Wrap(err, "encoding a beacon")
}

func encodeObservations(s *ServiceObservations) *peerpb.ServiceSight {
	wire := &peerpb.ServiceSight{Service: s.Service}
	for _, seen := range s.Targets {
		wire.Targets = append(wire.Targets, seen.ID)
		wire.InFlight = append(wire.InFlight, uint32(max(seen.InFlight, 0)))
		wire.SlowdownPercent = append(wire.SlowdownPercent, uint32(math.Round(max(seen.Slowdown, 0)*percent)))
		wire.AgeMillis = append(wire.AgeMillis, millis(seen.Age))
		wire.FailedPercent = append(wire.FailedPercent, uint32(math.Round(min(max(seen.Failed, 0), 1)*percent)))
	}
	return wire
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// Decode returns the message of a datagram.
func Decode(datagram []byte) (Message, error) {
	var wire peerpb.Beacon
	if err := proto.Unmarshal(datagram, &wire); err != nil {
		return Message{}, eris.Wrap(err, "decoding a beacon")
	}
	if wire.GetProtocol() != Protocol {
		return Message{}, eris.Errorf("beacon protocol %d is not spoken here, only %d", wire.GetProtocol(), Protocol)
	}
	m := Message{
		Sender: wire.GetSender(), Incarnation: wire.GetIncarnation(), Sequence: wire.GetSequence(),
		Steered: wire.GetSteered(), WantsObservations: wire.GetWantsSights(),
	}
	for _, topic := range wire.GetTopics() {
		age := time.Duration(topic.GetAgeMillis()) * time.Millisecond
		m.Topics = append(m.Topics, TopicExtent{Topic: topic.GetTopic(), Through: topic.GetThrough(), Age: age})
	}
	for _, service := range wire.GetServices() {
		m.Services = append(m.Services, decodeObservations(service))
	}
	return m, nil
}

func decodeObservations(wire *peerpb.ServiceSight) ServiceObservations {
	s := ServiceObservations{Service: wire.GetService()}
	rows := min(len(wire.GetTargets()), len(wire.GetInFlight()), len(wire.GetSlowdownPercent()), len(wire.GetAgeMillis()))
	failed := wire.GetFailedPercent()
	if len(failed) < rows {
		failed = make([]uint32, rows)
	}
	for i := range rows {
		s.Targets = append(s.Targets, TargetObservation{
			ID:       wire.GetTargets()[i],
			InFlight: int(wire.GetInFlight()[i]),
			Slowdown: float64(wire.GetSlowdownPercent()[i]) / percent,
			Age:      time.Duration(wire.GetAgeMillis()[i]) * time.Millisecond,
			Failed:   min(float64(failed[i])/percent, 1),
		})
	}
	return s
}
