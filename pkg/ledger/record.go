package ledger

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Kind names the content of a record.
type Kind string

const (
	// KindProposal proposes a new version of a document.
	KindProposal Kind = "Proposal"
	// KindIndex holds a snapshot.
	KindIndex Kind = "Index"
	// KindText holds the text of one version.
	KindText Kind = "Text"
)

// MaxRecordBytes is the size of the largest encoded record that DecodeRecord accepts.
const MaxRecordBytes = 64 << 10

// Version identifies one version of one service's document. The number is the log
// offset of the proposal. Zero means that the service has no document.
type Version struct {
	Service string
	Version uint64
}

// Record is one record of the log. It is stored as JSON.
type Record struct {
	Kind Kind
	// ID is unique to one append, so that the process that appended the record can find
	// it in the log if the reply to the append was lost.
	ID string
	// Author is the operator who proposed the text. In an Index it is the host that appended the record.
	Author string
	// Service, Base and Text are set in a Proposal. Service, Version and Text are set in a Text.
	Service string `json:",omitempty"`
	Base    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	Text    string `json:",omitempty"`
	// Through and InForce are the snapshot of an Index.
	Through uint64    `json:",omitempty"`
	InForce []Version `json:",omitempty"`
}

// Encode returns the record as JSON.
func (r *Record) Encode() ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a log record")
	}
	return encoded, nil
}

// DecodeRecord decodes a record. It returns an error if the encoded record is longer than
// MaxRecordBytes or is not valid JSON, if the kind is unknown, or if a Text has no version.
func DecodeRecord(encoded []byte) (Record, error) {
	if len(encoded) > MaxRecordBytes {
		return Record{}, eris.Errorf("log record has %d bytes, the limit is %d", len(encoded), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Record{}, eris.Wrap(err, "decoding a log record")
	}
	switch r.Kind {
	case KindProposal, KindIndex:
		return r, nil
	case KindText:
		if r.Version == 0 {
			return Record{}, eris.New("log record of kind Text has no version")
		}
		return r, nil
	default:
		return Record{}, eris.Errorf("log record has the unknown kind %q", r.Kind)
	}
}
