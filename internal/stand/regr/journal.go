package regr

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Day is the result of one day of load in a score. The name of a day without faults begins with "quiet". The
// name of a day whose load is generated anew for each score begins with "fresh".
type Day struct {
	Name string `json:"name"`
	// NetValue is the value that callers received minus the costs that the benchmark charges, as a fraction of
	// the value that was due to them.
	NetValue float64 `json:"G"`
	// RuleViolations counts the violations of the benchmark's rules by the name of the rule.
	RuleViolations map[string]int `json:"rules"`
	// GatePassed reports whether the day passed the benchmark's acceptance check.
	GatePassed bool `json:"gate"`
}

// Score is the journal entry of one benchmark run. Entries of runs that are not scores have another Command.
type Score struct {
	// Command is the command of the benchmark that was run, "score" for a score.
	Command string `json:"cmd"`
	Site    string `json:"site"`
	// Times are the times at which the run started and ended.
	Times []time.Time `json:"at"`
	// OK reports whether the run succeeded.
	OK   bool  `json:"ok"`
	Days []Day `json:"days"`
}

// Mean returns the mean net value of the days that are neither quiet nor fresh, or 0 if there are none.
func (s *Score) Mean() float64 {
	total, count := 0.0, 0
	for i := range s.Days {
		if s.Days[i].isStandard() && !s.Days[i].isQuiet() {
			total += s.Days[i].NetValue
			count++
		}
	}
	return total / float64(max(count, 1))
}

func (d *Day) isQuiet() bool {
	return len(d.Name) >= len("quiet") && d.Name[:len("quiet")] == "quiet"
}

// isStandard reports whether the day has the same load in every score. The load of fresh days is generated
// anew for each score, so they can't be compared.
func (d *Day) isStandard() bool {
	return len(d.Name) < len("fresh") || d.Name[:len("fresh")] != "fresh"
}

// ReadScores returns the successful scores in a journal folder by site, ordered by the time of their start. It
// skips entries that can't be decoded.
func ReadScores(folder string) (map[string][]Score, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, eris.Wrapf(err, "listing the journal folder %s", folder)
	}
	scores := make(map[string][]Score)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrapf(err, "reading the journal entry %s", file)
		}
		var s Score
		if json.Unmarshal(text, &s) != nil || s.Command != "score" || !s.OK || s.Site == "" || len(s.Times) == 0 {
			// A run that did not finish has an empty string as its end time, which can't be decoded.
			continue
		}
		scores[s.Site] = append(scores[s.Site], s)
	}
	for _, list := range scores {
		slices.SortFunc(list, func(a, b Score) int { return cmp.Compare(a.Times[0].UnixNano(), b.Times[0].UnixNano()) })
	}
	return scores, nil
}
