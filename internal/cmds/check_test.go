package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCheckConfiguration checks what the command check prints for configurations, and that it prints no key.
func TestCheckConfiguration(t *testing.T) {
	tests := []struct {
		name, text string
		code       int
		want       string
	}{
		{name: "valid", text: ` {"version":"0000000c","tenants":[{"name":"a","api-keys":["s3cret"]}]}`, code: ExitDone, want: "valid configuration"},
		{name: "shared key", text: "{\"version\":\"0000000c\",\n\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"s3cret\"]},\n{\"name\":\"b\",\"api-keys\":[\"s3cret\"]}]}", code: ExitBadInput, want: `line 3: the organisations "a" and "b" hold the same key`},
		{name: "no JSON", text: `{"version"`, code: ExitBadInput, want: "decoding the configuration"},
		{name: "settings", text: "[Host]\nName = \n", code: ExitBadInput, want: "Host"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "file")
			is.NoErr(os.WriteFile(path, []byte(test.text), 0o600))
			var out strings.Builder
			s := streams{out: &out, err: &out}
			kind, err := checkFile(path)
			if err != nil {
				is.Equal(s.fail(err), test.code)
			} else {
				is.Equal(test.code, ExitDone)
				out.WriteString("valid " + kind)
			}
			is.True(strings.Contains(out.String(), test.want))
			is.True(!strings.Contains(out.String(), "s3cret"))
		})
	}
}
