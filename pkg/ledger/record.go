package ledger

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Kind names the content of a record.
type Kind string

const (
	// KindProposal asks for a new version of a document.
	KindProposal Kind = "Proposal"
	// KindIndex restates which versions are in force.
	KindIndex Kind = "Index"
	// KindText restates the text of one version.
	KindText Kind = "Text"
)

// MaxRecordBytes bounds an encoded record.
const MaxRecordBytes = 64 << 10

// Version is one service's version; versions are log offsets, and zero means no document.
type Version struct {
	Service string
	Version uint64
}

// Record is one entry of the documents stream.
type Record struct {
	Kind Kind
	// ID names the append, so that its author can find it again after a lost reply.
	ID string
	// Author names the operator who proposed the text, or the host that appended an index.
	Author string
	// Service, Base and Text belong to a proposal; Service, Version and Text to a text.
	Service string `json:",omitempty"`
	Base    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	Text    string `json:",omitempty"`
	// Through and InForce belong to an index.
	Through uint64    `json:",omitempty"`
	InForce []Version `json:",omitempty"`
}

// Encode returns the record as JSON.
func (r *Record) Encode() ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a record")
	}
	return encoded, nil
}

// DecodeRecord reads a record and checks that it is complete.
func DecodeRecord(encoded []byte) (Record, error) {
	if len(encoded) > MaxRecordBytes {
		return Record{}, eris.Errorf("record of %d bytes exceeds %d", len(encoded), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Record{}, eris.Wrap(err, "decoding a record")
	}
	switch r.Kind {
	case KindProposal, KindIndex:
		return r, nil
	case KindText:
		if r.Version == 0 {
			return Record{}, eris.New("text record without a version")
		}
		return r, nil
	default:
		return Record{}, eris.Errorf("unknown record kind %q", r.Kind)
	}
}
