package plat_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
)

func TestHostCheck(t *testing.T) {
	good := plat.Host{Name: "r1", Role: plat.RoleTarget, Address: "127.0.0.1:1", State: plat.StateLive}
	tests := []struct {
		name   string
		change func(h *plat.Host)
		isGood bool
	}{
		{"good", func(*plat.Host) {}, true},
		{"no name", func(h *plat.Host) { h.Name = "" }, false},
		{"name with a space", func(h *plat.Host) { h.Name = "a b" }, false},
		{"host name as address", func(h *plat.Host) { h.Address = "host:1" }, false},
		{"port out of range", func(h *plat.Host) { h.Address = "127.0.0.1:70000" }, false},
		{"port zero", func(h *plat.Host) { h.Address = "127.0.0.1:0" }, false},
		{"negative slots", func(h *plat.Host) { h.Slots = -1 }, false},
		{"slots beyond any target", func(h *plat.Host) { h.Slots = 2_000_000_000 }, false},
		{"unknown role", func(h *plat.Host) { h.Role = "Moon" }, false},
		{"unknown state", func(h *plat.Host) { h.State = "Odd" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := good
			tt.change(&h)
			is.Equal(h.Check() == nil, tt.isGood)
		})
	}
}

// TestOddRowLeavesOthers guards against hosts that no longer follow the list because of one
// row with a value that doesn't fit its field (issue 29, report of another operator).
func TestOddRowLeavesOthers(t *testing.T) {
	const good = `{"Name":"r1","Role":"Target","Address":"127.0.0.1:1","State":"Live"}`
	for _, odd := range []string{
		`{"Name":"r2","Role":"Target","Address":"127.0.0.1:2","State":"Live","Slots":1e999}`,
		`{"Name":"r2","Role":"Target","Address":7,"State":"Live"}`,
		`{"Name":"r2","Role":"Target","Address":"127.0.0.1:2","State":"Live","ColdUntil":"never"}`,
		`[[[]]]`, `7`,
	} {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			var reply plat.HostsReply
			is.NoErr(json.Unmarshal([]byte(`{"Revision":4,"Hosts":[`+odd+`,`+good+`]}`), &reply))
			is.Equal(reply.Revision, uint64(4))
			is.Equal(len(reply.Hosts), 2)
			is.True(reply.Hosts[0].Check() != nil)
			is.NoErr(reply.Hosts[1].Check())
		})
	}
}

// FuzzHosts checks that every row that passes Check has an address that can be parsed.
func FuzzHosts(f *testing.F) {
	for _, seed := range []string{`{"Revision":1,"Hosts":[{"Name":"a"}]}`, `{}`, `[]`, `{"Hosts":null}`, `{"Revision":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply plat.HostsReply
		if json.Unmarshal(text, &reply) != nil {
			return
		}
		for i := range reply.Hosts {
			h := &reply.Hosts[i]
			if _, err := netip.ParseAddrPort(h.Address); err != nil && h.Check() == nil {
				t.Fatalf("Check accepted a row with the address %q", h.Address)
			}
		}
	})
}
