package plat

import (
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
	// UnixMillis is the platform's time of the append.
	UnixMillis int64
	// Body is opaque to the platform.
	Body []byte
}

// ReadReply answers GET /log/STREAM?from=OFFSET&waitMillis=N.
type ReadReply struct {
	// First is the oldest offset still kept, and Next the offset of the next append.
	First uint64
	Next  uint64
	// NowUnixMillis is the platform's clock, to tell the age of records by.
	NowUnixMillis int64
	Records       []Record
}

// AppendReply answers POST /log/STREAM.
type AppendReply struct {
	Offset uint64
}

// Role of a host on the list.
const (
	RoleTarget = "Target"
	RoleEntry  = "Entry"
)

// State of a host on the list.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Host is one row of the list of live and leaving hosts.
type Host struct {
	Name          string
	Role          string
	Service       string `json:",omitempty"`
	Address       string
	FailureDomain string
	State         string
	// Slots is the number of requests that a target works on at once; zero if the list does not say.
	Slots int `json:",omitempty"`
	// ColdUntil is when a target that has just started works at its usual speed.
	ColdUntil time.Time `json:",omitzero"`
}

// Check returns why a row cannot be used, or nil.
func (h *Host) Check() error {
	if !spec.IsName(h.Name) {
		return eris.Errorf("name %q: allowed: letters, digits, '-' and '_'", h.Name)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return eris.Errorf("address %q: allowed: IP:port", h.Address)
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
	Revision uint64
	Hosts    []Host
}
