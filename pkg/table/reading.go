package table

import (
	"cmp"
	"net/url"
	"path"
	"slices"
	"strings"
)

// reading is a way in which a program between the caller and the work may read a path that
// is not written in the usual way.
type reading func(sent string) string

// readings are the ways besides the one of Match, which reads a path as it was sent.
var readings = []reading{
	withoutDots,
	unescaped,
	func(sent string) string { return withoutDots(unescaped(sent)) },
}

// unescaped returns the path with its escapes decoded once, so that %2F becomes a slash.
func unescaped(sent string) string {
	decoded, err := url.PathUnescape(sent)
	if err != nil {
		return sent
	}
	return decoded
}

// withoutDots returns the path without dot segments and doubled slashes, and with slashes in
// place of backslashes.
func withoutDots(sent string) string {
	slashes := strings.ReplaceAll(sent, `\`, "/")
	cleaned := path.Clean("/" + slashes)
	if cleaned == "/" || !strings.HasSuffix(slashes, "/") && path.Base(slashes) != "." && path.Base(slashes) != ".." {
		return cleaned
	}
	return cleaned + "/"
}

// isPlain reports whether all readings of a path are the same.
func isPlain(sent string) bool {
	return !strings.ContainsAny(sent, `%\`) && !strings.Contains(sent, "//") && !strings.Contains(sent, "/.")
}

// hostRoutes are the routes of one host name.
type hostRoutes struct {
	// sent is sorted by the length of the prefixes as they are written, longest first, and
	// read, for each of the readings, by that of the prefixes as it reads them.
	sent []prefixRoute
	read [][]prefixRoute
	// isPlain says that the prefixes are all plain.
	isPlain bool
}

// prefixRoute is a route with its prefix in one reading.
type prefixRoute struct {
	prefix string
	route  *Route
}

func newHostRoutes(routes []Route) *hostRoutes {
	h := &hostRoutes{
		sent:    sortedPrefixes(routes, func(prefix string) string { return prefix }),
		isPlain: !slices.ContainsFunc(routes, func(r Route) bool { return !isPlain(r.Prefix) }),
	}
	for _, read := range readings {
		h.read = append(h.read, sortedPrefixes(routes, read))
	}
	return h
}

func sortedPrefixes(routes []Route, read reading) []prefixRoute {
	sorted := make([]prefixRoute, 0, len(routes))
	for i := range routes {
		sorted = append(sorted, prefixRoute{prefix: read(routes[i].Prefix), route: &routes[i]})
	}
	slices.SortStableFunc(sorted, func(a, b prefixRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	return sorted
}

// match is Table.Match for the routes of one host name.
func (h *hostRoutes) match(sent string) *Route {
	matched := firstMatch(h.sent, sent)
	if matched == nil || h.isPlain && isPlain(sent) {
		return matched
	}
	strictest := *matched
	for i, read := range readings {
		other := firstMatch(h.read[i], read(sent))
		if other == nil {
			return nil
		}
		strictest.Idempotent = strictest.Idempotent && other.Idempotent
		strictest.AttemptsAtMost = min(strictest.AttemptsAtMost, other.AttemptsAtMost)
		strictest.Public = strictest.Public && other.Public
	}
	return &strictest
}

// firstMatch returns the first route whose prefix begins the path, or nil.
func firstMatch(sorted []prefixRoute, text string) *Route {
	for _, candidate := range sorted {
		if strings.HasPrefix(text, candidate.prefix) {
			return candidate.route
		}
	}
	return nil
}
