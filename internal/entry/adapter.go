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

// Topics of a store.
const (
	// TopicConfiguration holds the operator's routes and services.
	TopicConfiguration = "Configuration"
	// TopicTargets holds what targets say of themselves.
	TopicTargets = "Targets"
	// TopicEntryHosts holds the addresses at which entry hosts meet.
	TopicEntryHosts = "EntryHosts"
)

// ErrTrimmed says that a store no longer keeps the records asked for.
var ErrTrimmed = eris.New("the store no longer keeps the records asked for")

// isTrimmed reports whether the newest records have to be read anew.
func isTrimmed(err error) bool {
	return errors.Is(err, ErrTrimmed)
}

// Store is a platform's log of keyed topics.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (facts.Delta, error)
	// Changes returns the records from an offset on and waits up to wait for the
	// first; the error is ErrTrimmed if some of them are gone.
	Changes(ctx context.Context, topic string, from uint64, wait time.Duration) (facts.Delta, error)
	// Announce makes value the newest record of a key of the topic of entry hosts.
	Announce(ctx context.Context, key string, value []byte) error
	// Close drops the connections.
	Close()
}

// Decoder says what the records of a store mean.
type Decoder interface {
	// Configuration returns the routes and the services; nil without a configuration.
	Configuration(newest []facts.Fact) (*table.Table, []spec.Document, error)
	// Targets returns the targets that can be used, and what is wrong with the other records.
	Targets(newest []facts.Fact) ([]plat.Host, []error)
}

// Adapter joins a daemon to its surroundings. Without a store the daemon follows
// documents and hosts on a platform that speaks the project's own protocol.
type Adapter struct {
	Store   Store
	Decoder Decoder
	// Wire is the protocol of the targets.
	Wire target.Wire
}

// NativeAdapter returns the adapter for the project's own protocols.
func NativeAdapter() Adapter {
	return Adapter{Wire: target.OwnWire{}}
}
