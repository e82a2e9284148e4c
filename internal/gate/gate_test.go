package gate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/internal/gate"
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
			is.True(limits.Fields > 4096) // the shortest field has 4 bytes, and a head 16 KB
		})
	}
}
