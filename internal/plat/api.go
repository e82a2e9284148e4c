package plat

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// StreamDocuments is the stream that holds the documents of all services.
const StreamDocuments = "documents"

// Record is one entry of a stream.
type Record struct {
	Offset uint64
	// UnixMillis is the time of the append by the platform's clock, in ms since 1970.
	UnixMillis int64
	// Body is not interpreted by the platform.
	Body []byte
}

// ReadReply answers GET /log/STREAM?from=OFFSET&waitMillis=N.
type ReadReply struct {
	// First is the oldest offset that is still stored, and Next the offset that the next
	// record will get. Both are at least 1, and equal if no records are stored.
	First uint64
	Next  uint64
	// NowUnixMillis is the platform's clock at the reply, in ms since 1970, from which
	// the age of records is computed.
	NowUnixMillis int64
	Records       []Record
}

// AppendReply answers POST /log/STREAM.
type AppendReply struct {
	Offset uint64
}

// Values of Host.Role.
const (
	RoleTarget = "Target"
	RoleEntry  = "Entry"
)

// Values of Host.State.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Host is one row of the list of hosts.
type Host struct {
	Name string
	Role string
	// Service is the service of a target.
	Service string `json:",omitempty"`
	// Address is an IP address with a port.
	Address       string
	FailureDomain string
	State         string
	// Slots is the number of requests that a target processes at once, or zero if the list
	// does not state it.
	Slots int `json:",omitempty"`
	// ColdUntil is when a target that has just started will reach its usual speed.
	ColdUntil time.Time `json:",omitzero"`
	// StartedAt is when this instance of a target started, zero if the list does not state it.
	StartedAt time.Time `json:",omitzero"`
}

// maxSlots is the largest number of slots that a row may state.
const maxSlots = 1 << 16

// Check returns an error if the name, the address, the slots, the role or the state of the
// row is not allowed.
func (h *Host) Check() error {
	if !spec.IsName(h.Name) {
		return eris.Errorf("name %q: allowed: 1 to 64 ASCII letters, digits, '-' and '_', beginning with a letter or digit", h.Name)
	}
	address, err := netip.ParseAddrPort(h.Address)
	if err != nil {
		return eris.Errorf("address %.100q: allowed: IP:port", h.Address)
	}
	if address.Port() == 0 {
		return eris.Errorf("address %q: allowed: a port from 1 to 65535", h.Address)
	}
	if h.Slots < 0 || h.Slots > maxSlots {
		return eris.Errorf("slots %d: allowed: 0 to %d", h.Slots, maxSlots)
	}
	if h.Role != RoleTarget && h.Role != RoleEntry {
		return eris.Errorf("role %q: allowed: %s or %s", h.Role, RoleTarget, RoleEntry)
	}
	if h.State != StateLive && h.State != StateLeaving {
		return eris.Errorf("state %q: allowed: %s or %s", h.State, StateLive, StateLeaving)
	}
	return nil
}

// HostsReply answers GET /hosts.
type HostsReply struct {
	// Revision identifies this state of the list. It changes whenever the list does.
	Revision uint64
	Hosts    []Host
}

// UnmarshalJSON decodes the rows one by one, so that a row with a value that doesn't fit
// its field has no effect on the others. Such a row is returned without values, which Check
// rejects.
func (r *HostsReply) UnmarshalJSON(text []byte) error {
	var reply struct {
		Revision uint64
		Hosts    []json.RawMessage
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return eris.Wrap(err, "decoding the list of hosts")
	}
	*r = HostsReply{Revision: reply.Revision}
	for _, row := range reply.Hosts {
		var host Host
		if json.Unmarshal(row, &host) != nil {
			host = Host{}
		}
		r.Hosts = append(r.Hosts, host)
	}
	return nil
}
