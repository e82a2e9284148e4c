package orgs_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
)

func listing(name string, keys ...string) orgs.Listing {
	return orgs.Listing{Organisation: orgs.Organisation{Name: name, Priority: len(name)}, Keys: keys}
}

func TestAssign(t *testing.T) {
	registry, err := orgs.NewRegistry([]orgs.Listing{
		listing("north", "alpha", "beta", "alpha"), listing("south", "gamma"), listing("west", "", "two words", "schlüssel"), listing("east"),
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		keys []string
		want string
		// reason is that of the refusal; empty if there is none.
		reason string
	}{
		{name: "first key", keys: []string{"alpha"}, want: "north"},
		{name: "second key", keys: []string{"beta"}, want: "north"},
		{name: "other organisation", keys: []string{"gamma"}, want: "south"},
		{name: "none", reason: orgs.ReasonKeyMissing},
		{name: "empty", keys: []string{""}, reason: orgs.ReasonKeyMissing},
		{name: "twice", keys: []string{"alpha", "alpha"}, reason: orgs.ReasonKeyRepeated},
		{name: "one of two empty", keys: []string{"", "alpha"}, reason: orgs.ReasonKeyRepeated},
		{name: "unknown", keys: []string{"delta"}, reason: orgs.ReasonKeyUnknown},
		{name: "shorter", keys: []string{"alph"}, reason: orgs.ReasonKeyUnknown},
		{name: "longer", keys: []string{"alphaa"}, reason: orgs.ReasonKeyUnknown},
		{name: "other case", keys: []string{"Alpha"}, reason: orgs.ReasonKeyUnknown},
		{name: "space before", keys: []string{" alpha"}, reason: orgs.ReasonKeyUnknown},
		{name: "space listed", keys: []string{"two words"}, reason: orgs.ReasonKeyUnknown},
		{name: "not ASCII, listed", keys: []string{"schlüssel"}, reason: orgs.ReasonKeyUnknown},
		{name: "64 KB", keys: []string{strings.Repeat("a", 64<<10)}, reason: orgs.ReasonKeyUnknown},
		{name: "name of an organisation", keys: []string{"north"}, reason: orgs.ReasonKeyUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, digest, reason := registry.Assign(test.keys)
			is.Equal(reason, test.reason)
			if test.want == "" {
				is.True(got == nil)
				is.Equal(digest, orgs.Digest{})
				return
			}
			is.Equal(got.Name, test.want)
			is.Equal(got.Priority, len(test.want))
			is.Equal(registry.Owner(digest), got)
		})
	}
}

// TestOwnerInLaterVersions follows a key from one version of the configuration to the next.
func TestOwnerInLaterVersions(t *testing.T) {
	is := is.New(t)
	first, err := orgs.NewRegistry([]orgs.Listing{listing("north", "alpha"), listing("south")})
	is.NoErr(err)
	_, digest, _ := first.Assign([]string{"alpha"})
	moved, err := orgs.NewRegistry([]orgs.Listing{listing("south", "alpha"), listing("north")})
	is.NoErr(err)
	is.Equal(moved.Owner(digest).Name, "south")
	gone, err := orgs.NewRegistry([]orgs.Listing{listing("north", "beta"), listing("south")})
	is.NoErr(err)
	is.True(gone.Owner(digest) == nil)
	var none *orgs.Registry
	is.True(none.Owner(digest) == nil)
	is.True(first.Owner(orgs.Digest{}) == nil)
	is.Equal(first.Owner(digest).Name, "north") // a registry never changes
}

func TestRefusedLists(t *testing.T) {
	negative := listing("a", "x")
	negative.PerSecond = -1
	tests := []struct {
		name   string
		listed []orgs.Listing
		want   string
	}{
		{name: "shared key", listed: []orgs.Listing{listing("a", "x"), listing("b"), listing("c", "y", "x")}, want: `"a" and "c"`},
		{name: "one name twice", listed: []orgs.Listing{listing("a", "x"), listing("a", "y")}, want: `named "a"`},
		{name: "no name", listed: []orgs.Listing{listing("", "x")}, want: "no name"},
		{name: "allotment below zero", listed: []orgs.Listing{negative}, want: "below zero"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			registry, err := orgs.NewRegistry(test.listed)
			is.True(registry == nil && err != nil)
			is.True(strings.Contains(err.Error(), test.want))
			if shared := new(orgs.SharedKeyError); errors.As(err, &shared) {
				is.Equal([2]int{shared.Listing, shared.Key}, [2]int{2, 1})
			}
		})
	}
}

// BenchmarkAssign shows that unknown keys cost no more than known ones, whatever their length
// and the number of organisations.
func BenchmarkAssign(b *testing.B) {
	for _, count := range []int{1, 1000} {
		listed := make([]orgs.Listing, 0, count)
		for i := range count {
			listed = append(listed, listing(fmt.Sprint("org", i), fmt.Sprintf("key-%016d", i)))
		}
		registry, err := orgs.NewRegistry(listed)
		if err != nil {
			b.Fatal(err)
		}
		for name, key := range map[string]string{"known": "key-0000000000000000", "unknown": "key-x000000000000000", "64KB": strings.Repeat("k", 64<<10)} {
			b.Run(fmt.Sprint(count, "/", name), func(b *testing.B) {
				for b.Loop() {
					registry.Assign([]string{key})
				}
			})
		}
	}
}
