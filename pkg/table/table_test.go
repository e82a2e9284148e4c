package table_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

func route(host, prefix string, shares ...table.Share) table.Route {
	return table.Route{Terms: table.Terms{Class: prefix}, Host: host, Prefix: prefix, Shares: shares}
}

func TestMatch(t *testing.T) {
	routes := table.New(7, []table.Route{route("a.example", "/"), route("a.example", "/x/y/"), route("a.example", "/x/"), route("b.example", "/x/")})
	tests := []struct {
		name, host, path, want string
	}{
		{name: "longest prefix", host: "a.example", path: "/x/y/z", want: "/x/y/"},
		{name: "shorter prefix", host: "a.example", path: "/x/z", want: "/x/"},
		{name: "root", host: "a.example", path: "/q", want: "/"},
		{name: "port and case", host: "A.Example:80", path: "/x/", want: "/x/"},
		{name: "prefix ends with a slash", host: "b.example", path: "/x", want: ""},
		{name: "other host", host: "c.example", path: "/x/", want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := routes.Match(test.host, test.path)
			if test.want == "" {
				is.True(got == nil)
				return
			}
			is.Equal(got.Prefix, test.want)
		})
	}
}

func TestSplitterKeepsProportions(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	s := table.NewSplitter(rng.Float64)
	weighted := route("a", "/", table.Share{Service: "big", Weight: 90}, table.Share{Service: "small", Weight: 10}, table.Share{Service: "none"})
	counts := make(map[string]float64)
	for range 1000 {
		counts[s.Next(&weighted)]++
	}
	is.True(math.Abs(counts["small"]-100) <= 2)
	is.Equal(counts["none"], 0.0)
	weighted.Shares[0].Weight = 50
	weighted.Shares[1].Weight = 50
	counts = make(map[string]float64)
	for range 1000 {
		counts[s.Next(&weighted)]++
	}
	is.True(math.Abs(counts["small"]-500) <= 2)
}

func TestSplitterWithoutWeights(t *testing.T) {
	is := is.New(t)
	s := table.NewSplitter(rand.New(rand.NewPCG(1, 1)).Float64)
	unweighted := route("a", "/", table.Share{Service: "x"}, table.Share{Service: "y"})
	is.Equal(s.Next(&unweighted), "")
}

// TestMatchReadsPathAsSent checks paths that programs read in different ways. A path that is
// read as the one of two routes by one and as the other by another never gets the terms of
// the more lenient one.
func TestMatchReadsPathAsSent(t *testing.T) {
	add := func(prefix string, terms table.Terms, isPublic bool) table.Route {
		return table.Route{Terms: terms, Host: "a", Prefix: prefix, Public: isPublic}
	}
	order := table.Terms{AttemptsAtMost: 1}
	read := table.Terms{AttemptsAtMost: 3, Idempotent: true}
	routes := table.New(1, []table.Route{
		add("/orders/", order, false), add("/orders/proof/", read, false), add("/open/", read, true),
		add("/open/closed/", read, false), add("/caf%C3%A9/", read, false), add("/a%2Fb/", read, false),
	})
	tests := []struct {
		name, path string
		// prefix is that of the route; empty if there is none.
		prefix   string
		terms    table.Terms
		isPublic bool
	}{
		{name: "plain", path: "/orders/proof/1", prefix: "/orders/proof/", terms: read},
		{name: "escaped slash is data", path: "/orders/proof%2F1", prefix: "/orders/", terms: order},
		{name: "lower case", path: "/orders/proof%2f1", prefix: "/orders/", terms: order},
		{name: "escaped slash in the prefix", path: "/orders%2Fproof/1", prefix: ""},
		{name: "escaped letter", path: "/orders/%70roof/1", prefix: "/orders/", terms: order},
		{name: "escaped letter in the only prefix", path: "/%6Frders/1", prefix: ""},
		{name: "escape that changes no route", path: "/orders/proof/a%2Fb%20c", prefix: "/orders/proof/", terms: read},
		{name: "escaped twice is data", path: "/orders/proof%252F1", prefix: "/orders/", terms: order},
		{name: "up into a stricter route", path: "/orders/proof/../1", prefix: "/orders/proof/", terms: order},
		{name: "up, escaped dots", path: "/orders/proof/%2e%2E/1", prefix: "/orders/proof/", terms: order},
		{name: "up, escaped slash", path: "/orders/proof/..%2F1", prefix: "/orders/proof/", terms: order},
		{name: "up, at the end", path: "/orders/proof/..", prefix: "/orders/proof/", terms: order},
		{name: "up, backslash", path: `/orders/proof/..\1`, prefix: "/orders/proof/", terms: order},
		{name: "up out of all routes", path: "/orders/../1", prefix: ""},
		{name: "up out of all routes, escaped", path: "/orders/%2e%2e/1", prefix: ""},
		{name: "up and back", path: "/orders/../orders/proof/1", prefix: "/orders/", terms: order},
		{name: "up inside a route", path: "/orders/proof/x/../1", prefix: "/orders/proof/", terms: read},
		{name: "one dot", path: "/orders/./proof/1", prefix: "/orders/", terms: order},
		{name: "one dot inside a route", path: "/orders/proof/./1", prefix: "/orders/proof/", terms: read},
		{name: "dots in a name", path: "/orders/proof/.a..b", prefix: "/orders/proof/", terms: read},
		{name: "doubled slash inside the prefix", path: "/orders//proof/1", prefix: "/orders/", terms: order},
		{name: "doubled slash behind the prefix", path: "/orders/proof//1", prefix: "/orders/proof/", terms: read},
		{name: "doubled slash at the beginning", path: "//orders/1", prefix: ""},
		{name: "public for some only", path: "/open/x/../closed/1", prefix: "/open/", terms: read},
		{name: "public for some only, escaped", path: "/open/closed%2F1", prefix: "/open/", terms: read},
		{name: "public for all", path: "/open/a%20b", prefix: "/open/", terms: read, isPublic: true},
		{name: "escapes in the prefix", path: "/caf%C3%A9/1", prefix: "/caf%C3%A9/", terms: read},
		{name: "escapes in the prefix, other case", path: "/caf%c3%a9/1", prefix: ""},
		{name: "escapes in the prefix, sent without", path: "/caf\u00e9/1", prefix: ""},
		{name: "escaped slash in the prefix of a route", path: "/a%2Fb/1", prefix: "/a%2Fb/", terms: read},
		{name: "malformed escape", path: "/orders/proof/%zz", prefix: "/orders/proof/", terms: read},
		{name: "empty", path: "", prefix: ""},
		{name: "asterisk", path: "*", prefix: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := routes.Match("a", test.path)
			if test.prefix == "" {
				is.True(got == nil)
				return
			}
			is.True(got != nil)
			is.Equal(got.Prefix, test.prefix)
			is.Equal(got.Terms, test.terms)
			is.Equal(got.Public, test.isPublic)
		})
	}
}
