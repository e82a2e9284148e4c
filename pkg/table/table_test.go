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
