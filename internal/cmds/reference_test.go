package cmds

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestReferencePagesMatchCode(t *testing.T) {
	tests := []struct {
		path string
		page string
	}{
		{"../../docs/CLI.md", CommandPage()},
		{"../../docs/SETTINGS.md", SettingsPage()},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(tt.path)
			is.NoErr(err)
			is.Equal(string(text), tt.page) // run make docs
		})
	}
}
