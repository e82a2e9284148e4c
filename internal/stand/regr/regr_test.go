package regr_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/stand/regr"
)

// entryText is a journal entry. Its arguments are the command, the site, the last digit of the hours of the start
// and the end, whether the run succeeded, and the net value and the rule violations of the day scale-1.
const entryText = `{"cmd":%q,"site":%q,"at":["2026-12-04T1%d:00:00Z","2026-12-04T1%d:30:00Z"],"ok":%v,"days":[
{"name":"quiet-1","G":0.8,"rules":{},"gate":true},{"name":"scale-1","G":%g,"rules":%s,"gate":true},{"name":"fresh-1","G":0.1,"rules":{},"gate":true}]}`

func TestReport(t *testing.T) {
	tests := []struct {
		name    string
		entries []string
		want    string
	}{
		{name: "better", entries: []string{fmt.Sprintf(entryText, "score", "s", 1, 1, true, 0.5, "{}"), fmt.Sprintf(entryText, "score", "s", 2, 2, true, 0.6, "{}")}, want: "scale-1 0.500 0.600 +0.100 better"},
		{name: "worse, with files not in order of time", entries: []string{fmt.Sprintf(entryText, "score", "s", 2, 2, true, 0.5, "{}"), fmt.Sprintf(entryText, "score", "s", 1, 1, true, 0.6, "{}")}, want: "scale-1 0.600 0.500 -0.100 worse"},
		{name: "broken rule", entries: []string{fmt.Sprintf(entryText, "score", "s", 1, 1, true, 0.5, `{"LOST":4}`)}, want: "scale-1 0.500 broken rule LOST"},
		{name: "unfinished, failed and other runs are ignored", entries: []string{fmt.Sprintf(entryText, "score", "s", 1, 1, true, 0.5, "{}"), fmt.Sprintf(entryText, "run", "s", 2, 2, true, 0.9, "{}"), fmt.Sprintf(entryText, "score", "s", 3, 3, false, 0.9, "{}"), `{"at":["x",""]}`}, want: "scale-1 0.500"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			for i, text := range tt.entries {
				is.NoErr(os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d.json", i)), []byte(text), 0o600))
			}
			scores, err := regr.ReadScores(folder)
			is.NoErr(err)
			var out strings.Builder
			is.NoErr(regr.Report(scores, &out))
			is.True(strings.Contains(strings.Join(strings.Fields(out.String()), " "), tt.want))
			is.True(!strings.Contains(out.String(), "fresh"))
		})
	}
}
