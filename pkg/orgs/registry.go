package orgs

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
)

// Reasons why a request is assigned to no organisation.
const (
	// ReasonKeyMissing means that the request has no key, or an empty one.
	ReasonKeyMissing = "KeyMissing"
	// ReasonKeyRepeated means that the request has more than one key.
	ReasonKeyRepeated = "KeyRepeated"
	// ReasonKeyUnknown means that no organisation holds the key.
	ReasonKeyUnknown = "KeyUnknown"
)

// Digest identifies a key without revealing it. The zero value belongs to no key.
type Digest [sha256.Size]byte

// Listing is an organisation with its keys, as the configuration lists it.
type Listing struct {
	Organisation

	Keys []string
}

// SharedKeyError says that two organisations hold the same key. It doesn't state the key.
type SharedKeyError struct {
	// Organisations are the names of both.
	Organisations [2]string
	// Listing and Key are the positions of the second one in the list of organisations and
	// of the key in the list of its keys, from zero.
	Listing, Key int
}

// Error names both organisations.
func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("the organisations %q and %q hold the same key (the second one as number %d of its keys)", e.Organisations[0], e.Organisations[1], e.Key+1)
}

// holder is a key, by its digest, with the organisation that holds it.
type holder struct {
	digest       Digest
	organisation *Organisation
}

// Registry holds the organisations of one version of the configuration with their keys. It
// is immutable.
type Registry struct {
	// holders are grouped by a part of the digest.
	holders map[uint64][]holder
	// longest is the length of the longest key.
	longest int
	// organisations are in the order of the configuration.
	organisations []*Organisation
}

// NewRegistry returns a registry. The error is a SharedKeyError if two organisations hold the
// same key. A key that no request can carry, such as an empty one, is left out.
func NewRegistry(listed []Listing) (*Registry, error) {
	r := &Registry{holders: make(map[uint64][]holder)}
	names := make(map[string]bool, len(listed))
	for i := range listed {
		organisation := &listed[i].Organisation
		if err := checkOrganisation(organisation); err != nil {
			return nil, err
		}
		if names[organisation.Name] {
			return nil, eris.Errorf("there are two organisations named %q", organisation.Name)
		}
		names[organisation.Name] = true
		// The registry keeps no reference to the list, whose keys it must not hold.
		own := *organisation
		r.organisations = append(r.organisations, &own)
		for j, key := range listed[i].Keys {
			if !isKey(key) {
				continue
			}
			digest := digestOf(key)
			if owner := r.Owner(digest); owner != nil {
				if owner != &own {
					return nil, &SharedKeyError{Organisations: [2]string{owner.Name, own.Name}, Listing: i, Key: j}
				}
				continue
			}
			r.holders[digest.bucket()] = append(r.holders[digest.bucket()], holder{digest: digest, organisation: &own})
			r.longest = max(r.longest, len(key))
		}
	}
	return r, nil
}

// checkOrganisation returns an error if the name can't be sent in a header, or if the
// allotment is below zero, so that it might be taken for none.
func checkOrganisation(o *Organisation) error {
	if o.Name == "" || strings.TrimSpace(o.Name) != o.Name || strings.ContainsFunc(o.Name, unicode.IsControl) {
		return eris.Errorf("%.100q is no name of an organisation", o.Name)
	}
	if o.PerSecond < 0 || o.Burst < 0 {
		return eris.Errorf("the allotment of organisation %q is below zero", o.Name)
	}
	return nil
}

// Organisations returns all organisations, in the order of the configuration. A nil registry
// has none.
func (r *Registry) Organisations() []*Organisation {
	if r == nil {
		return nil
	}
	return r.organisations
}

// Assign returns the organisation that holds the only one of the keys that a request
// carries, and the digest of that key. Otherwise the organisation is nil, and the reason is
// one of the Reason constants. The time it takes doesn't depend on how much of a key is right.
func (r *Registry) Assign(keys []string) (organisation *Organisation, digest Digest, reason string) {
	switch {
	case len(keys) > 1:
		return nil, Digest{}, ReasonKeyRepeated
	case len(keys) == 0 || keys[0] == "":
		return nil, Digest{}, ReasonKeyMissing
	case len(keys[0]) > r.longest || !isKey(keys[0]):
		return nil, Digest{}, ReasonKeyUnknown
	}
	digest = digestOf(keys[0])
	if organisation = r.Owner(digest); organisation == nil {
		return nil, Digest{}, ReasonKeyUnknown
	}
	return organisation, digest, ""
}

// Owner returns the organisation that holds the key with a digest, or nil. A nil registry
// has no organisations.
func (r *Registry) Owner(digest Digest) *Organisation {
	if r == nil {
		return nil
	}
	for _, h := range r.holders[digest.bucket()] {
		if subtle.ConstantTimeCompare(h.digest[:], digest[:]) == 1 {
			return h.organisation
		}
	}
	return nil
}

func digestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

func (d Digest) bucket() uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// isKey reports whether a text is a key that the field of a request can carry unchanged,
// which means that it has only visible ASCII characters.
func isKey(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}
