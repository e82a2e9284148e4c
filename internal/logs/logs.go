package logs

import (
	"io"
	"log/slog"
	"strings"

	"github.com/rotisserie/eris"
)

// Subsystems are the names of the subsystems, each of which can have its own level.
var Subsystems = []string{"entry", "front", "request", "target", "plat", "peer"}

// Set creates the loggers of one host.
type Set struct {
	out    io.Writer
	host   string
	levels map[string]slog.Level
}

// New returns a set whose loggers write to out and add the host's name to every line.
// levels is a list such as "peer=debug,plat=warn", in which later items override
// earlier ones and the name "all" stands for every subsystem. The level is info for a
// subsystem that is not listed.
func New(out io.Writer, host, levels string) (*Set, error) {
	s := &Set{out: out, host: host, levels: make(map[string]slog.Level)}
	for item := range strings.SplitSeq(levels, ",") {
		if strings.TrimSpace(item) == "" {
			continue
		}
		if err := s.setLevel(strings.TrimSpace(item)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) setLevel(item string) error {
	name, value, _ := strings.Cut(item, "=")
	var level slog.Level
	if err := level.UnmarshalText([]byte(value)); err != nil {
		return eris.Wrapf(err, "reading log level %q, which must have the form subsystem=level", item)
	}
	isSubsystem := false
	for _, subsystem := range Subsystems {
		if name == subsystem || name == "all" {
			s.levels[subsystem] = level
			isSubsystem = true
		}
	}
	if !isSubsystem {
		return eris.Errorf("log level %q: unknown subsystem; allowed: all, %s", item, strings.Join(Subsystems, ", "))
	}
	return nil
}

// For returns the logger of a subsystem, which should be one of Subsystems. Any other
// name gets the level info.
func (s *Set) For(subsystem string) *slog.Logger {
	handler := slog.NewJSONHandler(s.out, &slog.HandlerOptions{Level: s.levels[subsystem]})
	return slog.New(handler).With("Host", s.host, "Subsystem", subsystem)
}
