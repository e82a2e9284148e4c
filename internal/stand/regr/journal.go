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

// Day is one played day of a score.
type Day struct {
	Name string `json:"name"`
	// NetValue is what callers got less prices, as a share of what they were owed.
	NetValue float64 `json:"G"`
	// RuleViolations counts broken rules by name.
	RuleViolations map[string]int `json:"rules"`
	// GatePassed says that the day passed.
	GatePassed bool `json:"gate"`
}

// Score is one journal entry of a score.
type Score struct {
	Command string      `json:"cmd"`
	Site    string      `json:"site"`
	Times   []time.Time `json:"at"`
	OK      bool        `json:"ok"`
	Days    []Day       `json:"days"`
}

// Mean returns the mean worth of the days that are not named quiet.
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

// isStandard reports whether the day is the same in every score; fresh ones are drawn anew.
func (d *Day) isStandard() bool {
	return len(d.Name) < len("fresh") || d.Name[:len("fresh")] != "fresh"
}

// ReadScores returns the finished scores of a journal by site, oldest first.
func ReadScores(folder string) (map[string][]Score, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, eris.Wrapf(err, "listing the journal %s", folder)
	}
	scores := make(map[string][]Score)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrapf(err, "reading the journal entry %s", file)
		}
		var s Score
		if json.Unmarshal(text, &s) != nil || s.Command != "score" || !s.OK || s.Site == "" || len(s.Times) == 0 {
			// Runs that did not finish state an empty time, and are no scores.
			continue
		}
		scores[s.Site] = append(scores[s.Site], s)
	}
	for _, list := range scores {
		slices.SortFunc(list, func(a, b Score) int { return cmp.Compare(a.Times[0].UnixNano(), b.Times[0].UnixNano()) })
	}
	return scores, nil
}
