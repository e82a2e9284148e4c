package spec_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

func TestParseRefusesBadDocuments(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		section string
		key     string
	}{
		{"unknown key", "[Service]\nName = a\nSlots = 4\nSpeed = 1\n", "Service", "Speed"},
		{"unknown section", "[Service]\nName = a\nSlots = 4\n[Extra]\nX = 1\n", "Extra", "X"},
		{"missing name", "[Service]\nSlots = 4\n", "Service", "Name"},
		{"path as name", "[Service]\nName = ../../x\nSlots = 4\n", "Service", "Name"},
		{"zero slots", "[Service]\nName = a\nSlots = 0\n", "Service", "Slots"},
		{"not a number", "[Service]\nName = a\nSlots = 4\n[Retries]\nExtraAttemptShare = NaN\n", "Retries", "ExtraAttemptShare"},
		{"key twice", "[Service]\nName = a\nSlots = 4\nSlots = 5\n", "Service", "Slots"},
		{"less than one probe per host", "[Service]\nName = a\nSlots = 4\n[Measuring]\nProbesPerWindow = 3\n", "Measuring", "ProbesPerWindow"},
		{"less than one connection per host", "[Service]\nName = a\nSlots = 4\n[Limits]\nConnectionsPerTarget = 3\n", "Limits", "ConnectionsPerTarget"},
		{"too large", strings.Repeat("# x\n", spec.MaxDocumentBytes), "", ""},
		{"not INI", "[Service\nName", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Parse("a.ini", []byte(tt.text))
			var field *spec.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Section, tt.section)
			is.Equal(field.Key, tt.key)
			is.True(field.Allowed != "")
		})
	}
}

func TestDefaultsAreAllowed(t *testing.T) {
	is := is.New(t)
	d, err := spec.Parse("a.ini", []byte("[Service]\nName = a\nSlots = 4\n"))
	is.NoErr(err)
	is.Equal(d.ConnectionShare(), 5)
	is.Equal(d.ProbeShare(), 1)
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"[Service]\nName = a\nSlots = 4\n", "", "[", "a=b", "[Service]\nName = `a\n", "\x00=\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := spec.Parse("fuzz", text)
		if err == nil && (!spec.IsName(d.Service) || d.Slots < 1 || d.ConnectionShare() < 1) {
			t.Fatalf("parsed %q as %+v, which is not allowed", text, d)
		}
	})
}
