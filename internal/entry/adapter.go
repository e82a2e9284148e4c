package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/facts"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// Names of a store's topics.
const (
	// TopicConfiguration holds the operator's routes and services.
	TopicConfiguration = "Configuration"
	// TopicTargets holds the records that targets publish of themselves.
	TopicTargets = "Targets"
	// TopicEntryHosts holds the peer addresses of entry hosts, through which new hosts join.
	TopicEntryHosts = "EntryHosts"
)

// ErrTrimmed means that a store has deleted some of the requested records.
var ErrTrimmed = eris.New("the store has deleted some of the requested records")

// isTrimmed reports whether err is ErrTrimmed, after which the newest records must be read again.
func isTrimmed(err error) bool {
	return errors.Is(err, ErrTrimmed)
}

// Store is a platform's log of topics, whose records have keys.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (facts.Delta, error)
	// Changes returns the records with the offset from and higher ones. It waits up to
	// wait for the first one. The error is ErrTrimmed if some of them were deleted.
	Changes(ctx context.Context, topic string, from uint64, wait time.Duration) (facts.Delta, error)
	// Announce appends a record with a key and a value to TopicEntryHosts.
	Announce(ctx context.Context, key string, value []byte) error
	// Close closes the connections.
	Close()
}

// Decoder decodes the records of a store.
type Decoder interface {
	// Configuration returns the routes and the services; nil without a configuration.
	Configuration(newest []facts.Fact) (*table.Table, []spec.Document, error)
	// Targets returns the targets of the well-formed records and an error for each malformed one.
	Targets(newest []facts.Fact) ([]plat.Host, []error)
	// Evacuated returns the failure domains that the operator wants to get nothing, from the
	// facts of the configuration.
	Evacuated(newest []facts.Fact) []string
}

// Adapter connects a daemon to a platform. Without a store the daemon reads documents
// and hosts from a platform that speaks the project's own protocol.
type Adapter struct {
	Store   Store
	Decoder Decoder
	// TargetProtocol is the protocol that targets speak.
	TargetProtocol target.Protocol
}

// NativeAdapter returns the adapter for the project's own protocols, which has no store.
func NativeAdapter() Adapter {
	return Adapter{TargetProtocol: target.NativeProtocol{}}
}
