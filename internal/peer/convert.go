package peer

import (
	"math"
	"net/http"
	"slices"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/peerpb"
	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
	"gitlab.com/curranttiller/curranttiller/pkg/member"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// Protocol is the version of the protocol that this package speaks.
const Protocol = 1

// Heartbeat is the request or the reply of a heartbeat.
type Heartbeat struct {
	Sender        string
	FailureDomain string
	// RowCounters are the IDs and counters of rows in the sender's membership table, and
	// Members the rows that the receiver lacks. Rows that hosts of the receiver's failure
	// domain don't need may be left out of both.
	RowCounters []member.RowCounter
	Members     []member.Info
	// DocumentsThrough is the last offset of the log of documents that the sender has applied.
	DocumentsThrough uint64
	// Sent is the time of sending by the sender's clock.
	Sent time.Time
	// LacksRows is set in a reply whose sender lacks rows that the request listed in
	// RowCounters.
	LacksRows bool
}

// Documents are the documents in force at a host, as it sends them to another one.
type Documents struct {
	// Snapshot lists the versions in force.
	Snapshot ledger.Snapshot
	// Current is set if the replying host has read enough of the log of documents to serve requests.
	Current bool
	// Texts are the documents that the replying host has stored and the requester has not.
	Texts map[ledger.Version]ledger.Document
}

// FactsRequest is a request for the facts of a topic whose offsets are at least From.
type FactsRequest struct {
	Topic string
	// From is the first offset that the requester has not read, or zero for the whole topic.
	From uint64
	// Era is that of the store to which From belongs.
	Era uint64
	// Requester describes the requesting host. Other hosts may be redirected to it after the
	// whole topic was sent to it.
	Requester facts.Requester
}

// FactsReply is the reply to a FactsRequest. If RedirectTo is set, it is the peer address of
// another host to send the request to, and Delta is empty.
type FactsReply struct {
	Delta      facts.Delta
	RedirectTo string
}

func heartbeatToWire(h *Heartbeat) *peerpb.HeartbeatMessage {
	m := &peerpb.HeartbeatMessage{
		Protocol:         Protocol,
		Sender:           h.Sender,
		FailureDomain:    h.FailureDomain,
		DocumentsThrough: h.DocumentsThrough,
		SentUnixNanos:    h.Sent.UnixNano(),
		Lacking:          h.LacksRows,
	}
	for _, c := range h.RowCounters {
		m.Ids = append(m.Ids, c.ID)
		m.Counters = append(m.Counters, c.Counter)
	}
	for i := range h.Members {
		m.Members = append(m.Members, memberToWire(&h.Members[i]))
	}
	return m
}

func heartbeatFromWire(m *peerpb.HeartbeatMessage) Heartbeat {
	h := Heartbeat{
		Sender:           m.GetSender(),
		FailureDomain:    m.GetFailureDomain(),
		DocumentsThrough: m.GetDocumentsThrough(),
		Sent:             time.Unix(0, m.GetSentUnixNanos()),
		LacksRows:        m.GetLacking(),
	}
	counters := m.GetCounters()
	for i, id := range m.GetIds()[:min(len(m.GetIds()), len(counters))] {
		h.RowCounters = append(h.RowCounters, member.RowCounter{ID: id, Counter: counters[i]})
	}
	for _, row := range m.GetMembers() {
		if isUsableRow(row) {
			h.Members = append(h.Members, memberFromWire(row))
		}
	}
	return h
}

// maxTextBytes is the length of the longest name or address that is kept.
const maxTextBytes = 64

// isUsableRow reports whether the texts of a row can be those of a host.
func isUsableRow(m *peerpb.Member) bool {
	return spec.IsName(m.GetName()) && areShort(m.GetFailureDomain(), m.GetCallerAddress(), m.GetPeerAddress(), m.GetAdminAddress(), m.GetBeaconAddress())
}

func areShort(texts ...string) bool {
	return !slices.ContainsFunc(texts, func(text string) bool { return len(text) > maxTextBytes })
}

func memberToWire(i *member.Info) *peerpb.Member {
	return &peerpb.Member{
		Name: i.Name, Incarnation: i.Incarnation, Counter: i.Counter, FailureDomain: i.FailureDomain,
		CallerAddress: i.CallerAddress, PeerAddress: i.PeerAddress, AdminAddress: i.AdminAddress, BeaconAddress: i.BeaconAddress,
		Capacity: uint32(max(i.Capacity, 0)), Leaving: i.Leaving,
	}
}

func memberFromWire(m *peerpb.Member) member.Info {
	return member.Info{
		Name: m.GetName(), Incarnation: m.GetIncarnation(), Counter: m.GetCounter(), FailureDomain: m.GetFailureDomain(),
		CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(), AdminAddress: m.GetAdminAddress(), BeaconAddress: m.GetBeaconAddress(),
		Capacity: int(m.GetCapacity()), Leaving: m.GetLeaving(),
	}
}

func versionsToWire(versions []ledger.Version, texts map[ledger.Version]ledger.Document) []*peerpb.DocumentVersion {
	wire := make([]*peerpb.DocumentVersion, 0, len(versions))
	for _, v := range versions {
		wire = append(wire, &peerpb.DocumentVersion{Service: v.Service, Version: v.Version, Text: []byte(texts[v].Text), Author: texts[v].Author})
	}
	return wire
}

func documentsFromWire(r *peerpb.DocumentsReply) Documents {
	d := Documents{Current: r.GetCurrent(), Texts: make(map[ledger.Version]ledger.Document)}
	d.Snapshot.Through = r.GetThrough()
	for _, wire := range r.GetInForce() {
		v := ledger.Version{Service: wire.GetService(), Version: wire.GetVersion()}
		d.Snapshot.InForce = append(d.Snapshot.InForce, v)
		if len(wire.GetText()) > 0 {
			d.Texts[v] = ledger.Document{Version: v, Text: string(wire.GetText()), Author: wire.GetAuthor()}
		}
	}
	return d
}

func headersToWire(from http.Header) []*peerpb.Header {
	wire := make([]*peerpb.Header, 0, len(from))
	for name, values := range from {
		for _, value := range values {
			wire = append(wire, &peerpb.Header{Name: name, Value: value})
		}
	}
	return wire
}

func headersFromWire(wire []*peerpb.Header) http.Header {
	to := make(http.Header, len(wire))
	for _, h := range wire {
		to.Add(h.GetName(), h.GetValue())
	}
	return to
}

func requestToWire(r *route.Request, now time.Time) *peerpb.ForwardHead {
	return &peerpb.ForwardHead{
		Protocol: Protocol, Service: r.Service, Method: r.Method, Path: r.URI, Headers: headersToWire(r.Header),
		ContentLength: r.ContentLength, DeadlineMillis: uint32(max(r.Deadline.Sub(now).Milliseconds(), 0)),
		RequestId: r.ID,
	}
}

func requestFromWire(head *peerpb.ForwardHead, now time.Time) *route.Request {
	return &route.Request{
		ID: head.GetRequestId(), Service: head.GetService(), Method: head.GetMethod(), URI: head.GetPath(),
		Header: headersFromWire(head.GetHeaders()), ContentLength: head.GetContentLength(),
		Deadline:  now.Add(time.Duration(head.GetDeadlineMillis()) * time.Millisecond),
		Forwarded: true,
	}
}

func factsToWire(a *FactsReply) *peerpb.FactsReply {
	d := &a.Delta
	reply := &peerpb.FactsReply{Elsewhere: a.RedirectTo, Era: d.Era, ReadBy: d.Read.By, ReadNumber: d.Read.Number, Through: d.Through, Whole: d.IsSnapshot, AgeMillis: uint32(min(max(d.Age.Milliseconds(), 0), math.MaxUint32))}
	for i := range d.Facts {
		f := &d.Facts[i]
		reply.Facts = append(reply.Facts, &peerpb.Fact{Key: f.Key, Offset: f.Offset, Value: f.Value, Removed: f.Removed})
	}
	return reply
}

func factsFromWire(reply *peerpb.FactsReply) FactsReply {
	d := facts.Delta{Era: reply.GetEra(), Read: facts.Read{By: reply.GetReadBy(), Number: reply.GetReadNumber()}, Through: reply.GetThrough(), IsSnapshot: reply.GetWhole(), Age: time.Duration(reply.GetAgeMillis()) * time.Millisecond}
	for _, f := range reply.GetFacts() {
		d.Facts = append(d.Facts, facts.Fact{Key: f.GetKey(), Offset: f.GetOffset(), Value: f.GetValue(), Removed: f.GetRemoved()})
	}
	return FactsReply{Delta: d, RedirectTo: reply.GetElsewhere()}
}
