package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

const validSettings = `[Host]
Name = entry1
FailureDomain = north
CallerAddress = 127.0.0.1:7001
PeerAddress = 127.0.0.1:7002
AdminAddress = 127.0.0.1:7003

[Platform]
Address = 127.0.0.1:7000
`

func TestParse(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		wantKey string
	}{
		{"valid", validSettings, ""},
		{"host name instead of an IP address", strings.Replace(validSettings, "127.0.0.1:7001", "localhost:7001", 1), "CallerAddress"},
		{"no port", strings.Replace(validSettings, "127.0.0.1:7002", "127.0.0.1", 1), "PeerAddress"},
		{"missing name", strings.Replace(validSettings, "Name = entry1", "", 1), "Name"},
		{"name with a character that is not allowed", strings.Replace(validSettings, "entry1", "entry.1", 1), "Name"},
		{"unknown key", validSettings + "Speed = 1\n", "Speed"},
		{"unknown subsystem", validSettings + "[Observability]\nLogLevels = moon=debug\n", "LogLevels"},
		{"empty list of peers, as from a template", validSettings + "[Peers]\nAddresses =\n", ""},
		{"empty memory and descriptors, as from a template", strings.Replace(validSettings, "[Host]", "[Host]\nMemoryMB =\nDescriptors = ", 1), ""},
		{"too little memory", strings.Replace(validSettings, "[Host]", "[Host]\nMemoryMB = 1", 1), "MemoryMB"},
		{"peer address with a host name", validSettings + "[Peers]\nAddresses = 127.0.0.1:1,host:2\n", "Addresses"},
		{"FailAfterMillis shorter than two heartbeats", validSettings + "[Membership]\nHeartbeatMillis = 1000\nFailAfterMillis = 1500\n", "FailAfterMillis"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := config.Parse("entry.ini", []byte(tt.text))
			if tt.wantKey == "" {
				is.NoErr(err)
				is.Equal(settings.CallerAdvertised, settings.CallerAddress)
				return
			}
			var field *spec.FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Key, tt.wantKey)
		})
	}
}

// TestStopLeavesTimeToAnswer checks that the default times of a stop are long enough for
// requests in flight, the longest of which take 2 s. The platforms in use kill a process
// 6 s after the stop signal. The host must be done 0.5 s before that.
func TestStopLeavesTimeToAnswer(t *testing.T) {
	is := is.New(t)
	text := "[Host]\nName = a\nFailureDomain = d\nCallerAddress = 127.0.0.1:1\nPeerAddress = 127.0.0.1:2\nAdminAddress = 127.0.0.1:3\n[Platform]\nAddress = 127.0.0.1:4\n"
	settings, err := config.Parse("test", []byte(text))
	is.NoErr(err)
	is.True(settings.StopHold+2*time.Second <= settings.StopTimeout)
	is.True(settings.StopTimeout <= 6*time.Second-500*time.Millisecond)
}

// TestHoldEndsBeforeGrace guards against a host that still accepts requests when the platform
// kills it (issue 29). A deployment may have a shorter grace time than its hold time.
func TestHoldEndsBeforeGrace(t *testing.T) {
	tests := []struct {
		text     string
		wantHold time.Duration
	}{
		{"HoldMillis = 2500\nGraceSeconds = 6\n", 2500 * time.Millisecond},
		{"HoldMillis = 2500\nGraceSeconds = 2\n", 900 * time.Millisecond},
		{"HoldMillis = 2500\nGraceSeconds = 0.2\n", 90 * time.Millisecond},
		{"HoldMillis = 0\nGraceSeconds = 2\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			settings, err := config.Parse("test", []byte(validSettings+"[Stop]\n"+tt.text))
			is.NoErr(err)
			is.Equal(settings.StopHold, tt.wantHold)
		})
	}
}
