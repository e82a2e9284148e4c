package beacon

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

// ProtocolVersion is the version of the datagram format. Decode rejects any other.
const ProtocolVersion = 1

const (
	// percent converts ratios to the whole percentages that datagrams carry.
	percent = 100
	// maxSenderBytes is the length of the longest name of a host.
	maxSenderBytes = 64
	// milli converts requests a second to the requests in 1000 s that datagrams carry.
	milli = 1000
)

// Message is the content of one beacon.
type Message struct {
	// Sender is the name of the entry host that sent the message.
	Sender string
	// Incarnation identifies one run of the sender's process.
	Incarnation uint64
	// Sequence increases with each message of an incarnation.
	Sequence uint64
	Topics   []TopicExtent
	Services []ServiceObservations
	// Steered lists the steered hosts that the sender reports as alive, by the numeric
	// ids of their rows in the membership table of package member. Only relays set it.
	Steered []uint32
	// WantsObservations asks the receiver to send its observations of all targets. The
	// sender sets it while a request waits in its queue, or if it has recently sent a
	// request to a target in another failure domain.
	WantsObservations bool
	// Limits are what the sender knows of the limits that targets name, also from other
	// hosts.
	Limits []ServiceLimits
	// Departures are the targets that have said that they leave, to the sender or to
	// another host.
	Departures []ServiceDepartures
	// Shared are facts of further kinds that the sender knows, also from other hosts.
	Shared []SharedFacts
	// From is the address from which the message was received. It is not part of the datagram.
	From string
}

// WithObservations returns a copy of the message that carries observations of targets.
func (m Message) WithObservations(services []ServiceObservations) Message {
	m.Services = services
	return m
}

// WithSteered returns a copy of the message that carries the ids of steered hosts.
func (m Message) WithSteered(steered []uint32) Message {
	m.Steered = steered
	return m
}

// WithLimits returns a copy of the message that carries limits of targets.
func (m Message) WithLimits(limits []ServiceLimits) Message {
	m.Limits = limits
	return m
}

// WithDepartures returns a copy of the message that carries leaving targets.
func (m Message) WithDepartures(departures []ServiceDepartures) Message {
	m.Departures = departures
	return m
}

// WithShared returns a copy of the message that also carries facts of a further kind. Lists
// without facts are left out.
func (m Message) WithShared(facts ...SharedFacts) Message {
	m.Shared = slices.Clone(m.Shared)
	for i := range facts {
		if len(facts[i].Facts) > 0 {
			m.Shared = append(m.Shared, facts[i])
		}
	}
	return m
}

// TopicExtent states how far the sender has read a topic.
type TopicExtent struct {
	facts.Extent

	Topic string
}

// ServiceObservations holds the sender's observations of the targets of a service.
type ServiceObservations struct {
	Service string
	Targets []TargetObservation
}

// TargetObservation is what the sender has measured at one target or received from it.
type TargetObservation struct {
	// ID is the TargetID of the target's name.
	ID uint32
	// InFlight counts the sender's own requests at the target.
	InFlight int
	// Slowdown is the target's current processing time of a request divided by its
	// usual processing time, as the target last reported it, or zero if it has not.
	Slowdown float64
	// SlowdownAge is the time since the target reported its slowdown.
	SlowdownAge time.Duration
	// FailedShare is an exponentially decaying estimate of the fraction of the sender's
	// requests and probes at the target that fail, from 0 to 1.
	FailedShare float64
}

// ServiceLimits holds what the sender knows of the limits of a service's targets.
type ServiceLimits struct {
	Service string
	Targets []TargetLimit
}

// TargetLimit is what the sender knows of the limit of one target.
type TargetLimit struct {
	// ID is the TargetID of the target's name.
	ID uint32
	// PerSecond is the number of requests a second that the target takes from all entry
	// hosts together. It is zero if the target no longer names a limit.
	PerSecond float64
	// Age is the time since the target last confirmed this.
	Age time.Duration
}

// ServiceDepartures holds the leaving targets of a service.
type ServiceDepartures struct {
	Service string
	Targets []TargetDeparture
}

// TargetDeparture says that a target leaves.
type TargetDeparture struct {
	// ID is the TargetID of the target's name.
	ID uint32
	// StartedUntil is the latest start of an instance of the target that leaves, in whole ms.
	StartedUntil time.Time
}

// SharedFacts holds facts of one kind about the subjects of one scope.
type SharedFacts struct {
	// Kind is the name of the part of an entry host that gives the facts their meaning.
	Kind string
	// Scope is the service or organisation that the subjects belong to, or empty.
	Scope string
	Facts []SharedFact
}

// SharedFact is one short fact about a subject.
type SharedFact struct {
	// Subject is a 32-bit hash of the name of the subject, such as the TargetID of a target.
	Subject uint32
	// Value has a meaning that depends on the kind.
	Value uint64
	// Age is the time since the fact was last confirmed.
	Age time.Duration
}

// TargetID returns a 32-bit hash of a target's name, which stands for the name in
// beacons. If two targets of a service have the same hash, the observations of one
// may be counted for the other. Requests may then go to a slower target, but never
// to one that is not a target of the service.
func TargetID(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Encode serializes a message into a datagram. Durations are cut to whole
// milliseconds, at most math.MaxUint32 of them, and ratios are rounded to whole
// percentages. Negative numbers are encoded as zero, and a FailedShare above 1 as 1.
func Encode(m *Message) ([]byte, error) {
	wire := &peerpb.Beacon{Protocol: ProtocolVersion, Sender: m.Sender, Incarnation: m.Incarnation, Sequence: m.Sequence, Steered: m.Steered, WantsSights: m.WantsObservations}
	for _, topic := range m.Topics {
		wire.Topics = append(wire.Topics, &peerpb.TopicExtent{
			Topic: topic.Topic, Era: topic.Era, Through: topic.Through, AgeMillis: toMillis(topic.Age), ReadBy: topic.Read.By, ReadNumber: topic.Read.Number,
		})
	}
	for i := range m.Services {
		wire.Services = append(wire.Services, encodeObservations(&m.Services[i]))
	}
	for i := range m.Limits {
		wire.Limits = append(wire.Limits, encodeLimits(&m.Limits[i]))
	}
	for i := range m.Departures {
		wire.Departures = append(wire.Departures, encodeDepartures(&m.Departures[i]))
	}
	for i := range m.Shared {
		wire.Shared = append(wire.Shared, encodeShared(&m.Shared[i]))
	}
	encoded, err := proto.Marshal(wire)
	return encoded, eris.Wrap(err, "encoding a beacon")
}

func encodeObservations(s *ServiceObservations) *peerpb.ServiceSight {
	wire := &peerpb.ServiceSight{Service: s.Service}
	for _, observed := range s.Targets {
		wire.Targets = append(wire.Targets, observed.ID)
		wire.InFlight = append(wire.InFlight, uint32(max(observed.InFlight, 0)))
		wire.SlowdownPercent = append(wire.SlowdownPercent, uint32(math.Round(max(observed.Slowdown, 0)*percent)))
		wire.AgeMillis = append(wire.AgeMillis, toMillis(observed.SlowdownAge))
		wire.FailedPercent = append(wire.FailedPercent, uint32(math.Round(min(max(observed.FailedShare, 0), 1)*percent)))
	}
	return wire
}

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// Decode parses a datagram. It returns an error for a malformed datagram and for
// one of another protocol version. Lists of unequal length are not an error, see
// decodeObservations.
func Decode(datagram []byte) (Message, error) {
	var wire peerpb.Beacon
	if err := proto.Unmarshal(datagram, &wire); err != nil {
		return Message{}, eris.Wrap(err, "decoding a beacon")
	}
	if wire.GetProtocol() != ProtocolVersion {
		return Message{}, eris.Errorf("beacon protocol version %d is not supported, want %d", wire.GetProtocol(), ProtocolVersion)
	}
	if len(wire.GetSender()) > maxSenderBytes {
		return Message{}, eris.Errorf("beacon has a sender name of %d bytes, at most %d are allowed", len(wire.GetSender()), maxSenderBytes)
	}
	m := Message{
		Sender: wire.GetSender(), Incarnation: wire.GetIncarnation(), Sequence: wire.GetSequence(),
		Steered: wire.GetSteered(), WantsObservations: wire.GetWantsSights(),
	}
	for _, topic := range wire.GetTopics() {
		age := time.Duration(topic.GetAgeMillis()) * time.Millisecond
		m.Topics = append(m.Topics, TopicExtent{Topic: topic.GetTopic(), Extent: facts.Extent{
			Era: topic.GetEra(), Through: topic.GetThrough(), Age: age, Read: facts.Read{By: topic.GetReadBy(), Number: topic.GetReadNumber()},
		}})
	}
	for _, service := range wire.GetServices() {
		m.Services = append(m.Services, decodeObservations(service))
	}
	for _, service := range wire.GetLimits() {
		m.Limits = append(m.Limits, decodeLimits(service))
	}
	for _, service := range wire.GetDepartures() {
		m.Departures = append(m.Departures, decodeDepartures(service))
	}
	for _, shared := range wire.GetShared() {
		m.Shared = append(m.Shared, decodeShared(shared))
	}
	return m, nil
}

func encodeLimits(s *ServiceLimits) *peerpb.ServiceLimits {
	wire := &peerpb.ServiceLimits{Service: s.Service}
	for _, l := range s.Targets {
		wire.Targets = append(wire.Targets, l.ID)
		wire.MilliPerSecond = append(wire.MilliPerSecond, uint32(math.Round(l.PerSecond*milli)))
		wire.AgeMillis = append(wire.AgeMillis, toMillis(l.Age))
	}
	return wire
}

// decodeLimits joins the lists of the wire format to one limit per target. Longer lists are
// cut to the shortest, and limits to the range of package limit.
func decodeLimits(wire *peerpb.ServiceLimits) ServiceLimits {
	s := ServiceLimits{Service: wire.GetService()}
	for i := range min(len(wire.GetTargets()), len(wire.GetMilliPerSecond()), len(wire.GetAgeMillis())) {
		perSecond := float64(wire.GetMilliPerSecond()[i]) / milli
		if perSecond > 0 {
			perSecond = min(max(perSecond, limit.MinPerSecond), limit.MaxPerSecond)
		}
		s.Targets = append(s.Targets, TargetLimit{
			ID: wire.GetTargets()[i], PerSecond: perSecond, Age: time.Duration(wire.GetAgeMillis()[i]) * time.Millisecond,
		})
	}
	return s
}

func encodeDepartures(s *ServiceDepartures) *peerpb.ServiceDepartures {
	wire := &peerpb.ServiceDepartures{Service: s.Service}
	for _, d := range s.Targets {
		wire.Targets = append(wire.Targets, d.ID)
		wire.StartedUntilMillis = append(wire.StartedUntilMillis, uint64(max(d.StartedUntil.UnixMilli(), 0)))
	}
	return wire
}

// decodeDepartures joins the lists of the wire format to one departure per target. Longer
// lists are cut to the shortest.
func decodeDepartures(wire *peerpb.ServiceDepartures) ServiceDepartures {
	s := ServiceDepartures{Service: wire.GetService()}
	for i := range min(len(wire.GetTargets()), len(wire.GetStartedUntilMillis())) {
		until := min(wire.GetStartedUntilMillis()[i], math.MaxInt64)
		s.Targets = append(s.Targets, TargetDeparture{ID: wire.GetTargets()[i], StartedUntil: time.UnixMilli(int64(until))})
	}
	return s
}

func encodeShared(s *SharedFacts) *peerpb.SharedFacts {
	wire := &peerpb.SharedFacts{Kind: s.Kind, Scope: s.Scope}
	for _, f := range s.Facts {
		wire.Subjects = append(wire.Subjects, f.Subject)
		wire.Values = append(wire.Values, f.Value)
		wire.AgeMillis = append(wire.AgeMillis, toMillis(f.Age))
	}
	return wire
}

// decodeShared joins the lists of the wire format to one element per fact. Longer lists are
// cut to the shortest.
func decodeShared(wire *peerpb.SharedFacts) SharedFacts {
	s := SharedFacts{Kind: wire.GetKind(), Scope: wire.GetScope()}
	for i := range min(len(wire.GetSubjects()), len(wire.GetValues()), len(wire.GetAgeMillis())) {
		s.Facts = append(s.Facts, SharedFact{
			Subject: wire.GetSubjects()[i], Value: wire.GetValues()[i], Age: time.Duration(wire.GetAgeMillis()[i]) * time.Millisecond,
		})
	}
	return s
}

// decodeObservations joins the lists of the wire format, one per field, to one
// observation per target. The number of observations is the length of the shortest
// list other than the failed shares, and longer lists are cut to it. If there are fewer
// failed shares than that, all of them count as zero.
func decodeObservations(wire *peerpb.ServiceSight) ServiceObservations {
	s := ServiceObservations{Service: wire.GetService()}
	rows := min(len(wire.GetTargets()), len(wire.GetInFlight()), len(wire.GetSlowdownPercent()), len(wire.GetAgeMillis()))
	failed := wire.GetFailedPercent()
	if len(failed) < rows {
		failed = make([]uint32, rows)
	}
	for i := range rows {
		s.Targets = append(s.Targets, TargetObservation{
			ID:          wire.GetTargets()[i],
			InFlight:    int(wire.GetInFlight()[i]),
			Slowdown:    float64(wire.GetSlowdownPercent()[i]) / percent,
			SlowdownAge: time.Duration(wire.GetAgeMillis()[i]) * time.Millisecond,
			FailedShare: min(float64(failed[i])/percent, 1),
		})
	}
	return s
}
