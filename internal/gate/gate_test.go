package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/gate"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// TestDerivedLimitsLeaveRoomForOrdinaryCallers checks the limits that follow from machines of
// the deployments. Up to 2,000 callers of a zone share two or more hosts.
func TestDerivedLimitsLeaveRoomForOrdinaryCallers(t *testing.T) {
	tests := []struct {
		memoryMB, descriptors int
	}{
		{memoryMB: 184, descriptors: 4100},
		{memoryMB: 284, descriptors: 4100},
		{memoryMB: 536, descriptors: 8192},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d MB", tt.memoryMB), func(t *testing.T) {
			is := is.New(t)
			text := fmt.Sprintf("[Host]\nName = h\nFailureDomain = a\nCallerAddress = 127.0.0.1:1\nPeerAddress = 127.0.0.1:2\nAdminAddress = 127.0.0.1:3\nMemoryMB = %d\nDescriptors = %d\n[Platform]\nAddress = 127.0.0.1:4\n", tt.memoryMB, tt.descriptors)
			settings, err := config.Parse("test", []byte(text))
			is.NoErr(err)
			limits := gate.NewCallerLimits(&settings)
			is.True(limits.Connections >= 1000)
			is.True(limits.Connections <= tt.descriptors*2/3) // the system's own calls keep a third
			const usualRequestBytes = 20 << 10
			is.True(limits.Bytes/usualRequestBytes >= 1000)
			is.True(limits.Bytes <= tt.memoryMB<<20/8)
			is.True(limits.Heads().Fields > 4096) // the shortest field has 4 bytes, and a head 16 KB
		})
	}
}

// heads returns limits of heads that the tests don't meet.
func heads() gate.HeadLimits {
	return gate.HeadLimits{Bytes: 64 << 10, Fields: 1000, Timeout: time.Minute, IdleTimeout: time.Minute}
}

// TestStatedLimits checks that a caller may use what an operator allows, and that the host
// still bounds what it allows itself.
func TestStatedLimits(t *testing.T) {
	own := gate.HeadLimits{Bytes: 64 << 10, Fields: 8192, Timeout: 5 * time.Second, IdleTimeout: 90 * time.Second}
	tests := []struct {
		name   string
		stated table.CallerLimits
		want   gate.HeadLimits
	}{
		{name: "none", want: own},
		{name: "those of the pages", stated: table.CallerLimits{HeadBytes: 16 << 10, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, want: gate.HeadLimits{Bytes: 64 << 10, Fields: 8192, Timeout: 6 * time.Second, IdleTimeout: 90 * time.Second}},
		{name: "larger ones", stated: table.CallerLimits{HeadBytes: 300_000, HeadTimeout: 30 * time.Second, IdleTimeout: 5 * time.Minute}, want: gate.HeadLimits{Bytes: 300_000, Fields: 100_000, Timeout: time.Minute, IdleTimeout: 10 * time.Minute}},
		{name: "beyond the largest", stated: table.CallerLimits{HeadBytes: 1 << 30}, want: gate.HeadLimits{Bytes: 1 << 20, Fields: (1 << 20) / 3, Timeout: 5 * time.Second, IdleTimeout: 90 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			limits := gate.Limits{Heads: func() gate.HeadLimits { return own }}.WithStated(func() table.CallerLimits { return tt.stated })
			is.Equal(limits.Heads(), tt.want)
		})
	}
}
