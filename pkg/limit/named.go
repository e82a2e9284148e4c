package limit

import (
	"math"
	"strconv"
	"strings"
)

const (
	// MinPerSecond is the lowest limit that is kept, one request in four seconds. Lower ones,
	// zero included, count as this, because only an answer shows that a limit has ended.
	MinPerSecond = 0.25
	// MaxPerSecond is the highest limit that is kept. Higher ones are cut to it.
	MaxPerSecond = 1e6
	// maxTextBytes is the length to which the text of a statement is cut.
	maxTextBytes = 64
	// milli is the number of parts of a request a second to which limits are rounded, so
	// that hosts can exchange them without a loss.
	milli = 1000
)

// Named is what one answer of a target states about its limit.
type Named struct {
	// PerSecond is the limit in requests a second, from MinPerSecond to MaxPerSecond. It is
	// zero if the answer states no limit or an unusable one.
	PerSecond float64
	// Problem says why the text is unusable or was replaced by a bound; empty if it is
	// neither.
	Problem string
	// Text is the text that Problem is about, cut to 64 bytes; empty without a problem.
	Text string
}

// Parse parses a limit, a decimal number of requests a second. An empty text states no
// limit. Numbers are rounded to three decimals. Those below MinPerSecond, zero included,
// and above MaxPerSecond count as these bounds. Any other text is unusable.
func Parse(text string) Named {
	text = strings.TrimSpace(text)
	if text == "" {
		return Named{}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	switch {
	case strings.Trim(text, "+-.0123456789") != "" || (err != nil && perSecond == 0):
		return Named{}.withProblem("not a decimal number", text)
	case perSecond < 0:
		return Named{}.withProblem("negative", text)
	case perSecond < MinPerSecond:
		return Named{PerSecond: MinPerSecond}.withProblem("below the lowest limit", text)
	case perSecond > MaxPerSecond:
		return Named{PerSecond: MaxPerSecond}.withProblem("above the highest limit", text)
	default:
		return Named{PerSecond: math.Round(perSecond*milli) / milli}
	}
}

func (n Named) withProblem(problem, text string) Named {
	n.Problem = problem
	// Cloned, because the text may be part of a long header.
	n.Text = strings.Clone(text[:min(len(text), maxTextBytes)])
	return n
}

// IsUsable reports whether the answer states a limit that can be kept, or none.
func (n Named) IsUsable() bool {
	return n.PerSecond > 0 || n.Problem == ""
}
