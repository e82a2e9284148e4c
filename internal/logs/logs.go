package logs

import (
	"io"
	"log/slog"
	"strings"

	"github.com/rotisserie/eris"
)

// Subsystems lists the names that a level can be set for.
var Subsystems = []string{"entry", "front", "request", "target", "plat", "peer"}

// Set makes loggers by subsystem.
type Set struct {
	out    io.Writer
	host   string
	levels map[string]slog.Level
}

// New returns loggers for a host; levels is a list such as "peer=debug,plat=warn", and "all=debug" sets every subsystem.
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
	name, word, _ := strings.Cut(item, "=")
	var level slog.Level
	if err := level.UnmarshalText([]byte(word)); err != nil {
		return eris.Wrapf(err, "log level %q", item)
	}
	known := false
	for _, subsystem := range Subsystems {
		if name == subsystem || name == "all" {
			s.levels[subsystem] = level
			known = true
		}
	}
	if !known {
		return eris.Errorf("log level %q: no such subsystem; there are all, %s", item, strings.Join(Subsystems, ", "))
	}
	return nil
}

// For returns the logger of a subsystem.
func (s *Set) For(subsystem string) *slog.Logger {
	handler := slog.NewJSONHandler(s.out, &slog.HandlerOptions{Level: s.levels[subsystem]})
	return slog.New(handler).With("Host", s.host, "Subsystem", subsystem)
}
