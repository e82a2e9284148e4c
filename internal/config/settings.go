package config

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/logs"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

// Settings are the checked settings of one entry host.
type Settings struct {
	// Name and FailureDomain identify the host.
	Name          string
	FailureDomain string
	// CallerAddress, PeerAddress and AdminAddress are the listening addresses.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// CallerAdvertised and PeerAdvertised are the addresses that others are told; they differ from the listening ones behind an address translation.
	CallerAdvertised string
	PeerAdvertised   string
	// Peers are the peer addresses of a few other hosts.
	Peers []string
	// BeaconAddress is where datagrams of other entry hosts arrive; it is used with a store only.
	BeaconAddress string
	// PlatformAddress is the address of the platform.
	PlatformAddress string
	// PlatformForm is one of the Form constants.
	PlatformForm string
	// ReadyAddress and DirectoryAddress are listening addresses that a platform with a store asks for.
	ReadyAddress     string
	DirectoryAddress string
	// SteeredHosts is the least number of hosts that callers are steered to.
	SteeredHosts int
	// Bootstrap says that the whole system starts for the first time.
	Bootstrap bool
	// Cores and LinkMbits are the processor and the network of the host.
	Cores     float64
	LinkMbits float64
	// SlotsPerCore and SlotsPerMbit are the slots of targets that a host can serve with them.
	SlotsPerCore int
	SlotsPerMbit int
	// DirectoryHold is how long callers may keep a directory answer of a host with a store, and StopHold how long a stopping host serves on.
	DirectoryHold time.Duration
	StopHold      time.Duration
	// StopGrace is the time from the signal to stop until the platform ends the process, and StopTimeout that to the exit.
	StopGrace   time.Duration
	StopTimeout time.Duration
	// RetryShare and RetryBurst are the extra attempts of all hosts together as a share of requests and beyond that.
	RetryShare float64
	RetryBurst float64
	// ProbesPerSecond bounds the probes of one target by all hosts.
	ProbesPerSecond float64
	// LogRetention is how long the platform's log keeps records.
	LogRetention time.Duration
	// HostListPeriod is the time between two reads of the list of hosts.
	HostListPeriod time.Duration
	// HeartbeatPeriod is the time between two heartbeats.
	HeartbeatPeriod time.Duration
	// FailAfter is how long a silent host stays in callers' answers.
	FailAfter time.Duration
	// DeadlineAtMost bounds the deadline of a request.
	DeadlineAtMost time.Duration
	// BodyBytesAtMost bounds the body of a request.
	BodyBytesAtMost int
	// KeysRemembered bounds the keyed requests remembered.
	KeysRemembered int
	// AnswerBytesRemembered bounds the bodies remembered.
	AnswerBytesRemembered int
	// EventsKept bounds the time line of the host.
	EventsKept int
	// LogLevels is a list such as peer=debug.
	LogLevels string
	// Pprof turns the profiling endpoint on.
	Pprof string
}

// Forms of platforms.
const (
	// FormOwn is a platform that speaks the protocol of docs/PLATFORM.md.
	FormOwn = "Own"
	// FormStore is a platform with a store of keyed topics.
	FormStore = "Store"
)

// Capacity returns the number of targets' slots that the host can serve.
func (s *Settings) Capacity() int {
	return int(min(s.Cores*float64(s.SlotsPerCore), s.LinkMbits*float64(s.SlotsPerMbit)))
}

// Fields describes every key of the settings and stores parsed values into s.
func (s *Settings) Fields() []spec.Field {
	return slices.Concat(s.hostFields(), s.limitFields(), s.storeFields())
}

// storeFields are used on a platform with a store.
func (s *Settings) storeFields() []spec.Field {
	return []spec.Field{
		{Section: "Platform", Key: "Form", Default: FormOwn, Allowed: "Own or Store", About: "Whether the platform speaks the project's own protocol or has a store of keyed topics.", Set: spec.Choice(&s.PlatformForm, FormOwn, FormStore)},
		{Section: "Host", Key: "BeaconAddress", Default: unusedAddress, Allowed: "IP:port", About: "Where datagrams of other entry hosts arrive (form Store).", Set: parseAddress(&s.BeaconAddress)},
		{Section: "Host", Key: "ReadyAddress", Default: unusedAddress, Allowed: "IP:port", About: "Where the platform asks whether the host is ready (form Store).", Set: parseAddress(&s.ReadyAddress)},
		{Section: "Host", Key: "DirectoryAddress", Default: unusedAddress, Allowed: "IP:port", About: "Where callers ask for addresses (form Store).", Set: parseAddress(&s.DirectoryAddress)},
		{Section: "Steering", Key: "Hosts", Unit: "hosts", Default: "3", Allowed: "1 to 1000", About: "Least number of hosts that callers are steered to (form Store).", Set: spec.Int(&s.SteeredHosts, 1, 1000)},
		{Section: "Host", Key: "Bootstrap", Default: "false", Allowed: "true or false", About: "Whether the whole system starts for the first time (form Store).", Set: parseBool(&s.Bootstrap)},
		{Section: "Host", Key: "Cores", Unit: "cores", Default: "1", Allowed: "0.01 to 1024", About: "Processor of the host (form Store).", Set: spec.Float(&s.Cores, 0.01, 1024)},
		{Section: "Host", Key: "LinkMbits", Unit: "Mbit/s", Default: "1000", Allowed: "1 to 1000000", About: "Network of the host (form Store).", Set: spec.Float(&s.LinkMbits, 1, 1000000)},
		{Section: "Steering", Key: "SlotsPerCore", Unit: "slots", Default: "140", Allowed: "1 to 100000", About: "Slots of targets that a core serves with room for three times the usual load: a request takes 0.5 to 0.7 ms, and a slot turns out one or two requests a second (form Store).", Set: spec.Int(&s.SlotsPerCore, 1, 100000)},
		{Section: "Steering", Key: "SlotsPerMbit", Unit: "slots", Default: "5", Allowed: "1 to 100000", About: "Slots of targets that a Mbit/s serves at about a quarter of the link: a request takes 6 KB in and out (form Store).", Set: spec.Int(&s.SlotsPerMbit, 1, 100000)},
		{Section: "Steering", Key: "DirectoryHoldSeconds", Unit: "s", Default: "5", Allowed: "0.1 to 600", About: "How long callers may keep a directory answer (form Store). A look-up costs a caller two round trips; one that keeps an answer too long finds a stopped host and takes another address.", Set: parseSeconds(&s.DirectoryHold)},
		{Section: "Stop", Key: "HoldMillis", Unit: "ms", Default: "2500", Allowed: "0 to 600000", About: "How long a stopping host takes requests of callers that have not heard of it yet; what it takes must be answered before it exits (form Store).", Set: spec.Millis(&s.StopHold, 0, 10*time.Minute)},
		{Section: "Stop", Key: "GraceSeconds", Unit: "s", Default: "6", Allowed: "0.1 to 600", About: "Time from the signal to stop until the platform ends the process; requests in flight have nine tenths of it to be answered (form Store).", Set: parseSeconds(&s.StopGrace)},
		{Section: "Retries", Key: "ShareOfRequests", Default: "0.2", Allowed: "0 to 1", About: "Extra attempts of all hosts together as a share of requests (form Store).", Set: spec.Float(&s.RetryShare, 0, 1)},
		{Section: "Retries", Key: "Burst", Unit: "attempts", Default: "50", Allowed: "0 to 100000", About: "Extra attempts of all hosts together beyond the share, in a window (form Store).", Set: spec.Float(&s.RetryBurst, 0, 100000)},
		{Section: "Measuring", Key: "ProbesPerSecond", Unit: "probes", Default: "10", Allowed: "0 to 10000", About: "Probes of one target a second by all hosts together (form Store).", Set: spec.Float(&s.ProbesPerSecond, 0, 10000)},
	}
}

// unusedAddress is the default of addresses that only one form of platform needs.
const unusedAddress = "0.0.0.0:1"

func (s *Settings) hostFields() []spec.Field {
	return []spec.Field{
		{Section: "Host", Key: "Name", Allowed: "a name of letters, digits, '-' and '_'", About: "Name of the host, unique in the system.", Set: spec.Name(&s.Name)},
		{Section: "Host", Key: "FailureDomain", Allowed: "a name of letters, digits, '-' and '_'", About: "Failure domain of the host.", Set: spec.Name(&s.FailureDomain)},
		{Section: "Host", Key: "CallerAddress", Allowed: "IP:port", About: "Where callers connect.", Set: parseAddress(&s.CallerAddress)},
		{Section: "Host", Key: "PeerAddress", Allowed: "IP:port", About: "Where other entry hosts connect.", Set: parseAddress(&s.PeerAddress)},
		{Section: "Host", Key: "AdminAddress", Allowed: "IP:port", About: "Where operators and metrics collectors connect.", Set: parseAddress(&s.AdminAddress)},
		{Section: "Host", Key: "CallerAdvertised", Default: sameAddress, Allowed: "IP:port, or Same", About: "Address that callers are told; Same means CallerAddress.", Set: parseAdvertised(&s.CallerAdvertised)},
		{Section: "Host", Key: "PeerAdvertised", Default: sameAddress, Allowed: "IP:port, or Same", About: "Address that other entry hosts are told; Same means PeerAddress.", Set: parseAdvertised(&s.PeerAdvertised)},
		{Section: "Peers", Key: "Addresses", Default: "none", Allowed: "IP:port values separated by commas, or none", About: "Peer addresses of a few other entry hosts.", Set: parseAddresses(&s.Peers)},
		{Section: "Platform", Key: "Address", Allowed: "IP:port", About: "Address of the platform.", Set: parseAddress(&s.PlatformAddress)},
		{Section: "Platform", Key: "LogRetentionMillis", Unit: "ms", Default: "3600000", Allowed: "1000 to 8640000000", About: "How long the platform's log keeps records.", Set: spec.Millis(&s.LogRetention, time.Second, 100*24*time.Hour)},
		{Section: "Platform", Key: "HostListPeriodMillis", Unit: "ms", Default: "1000", Allowed: "50 to 60000", About: "Time between two reads of the list of hosts.", Set: spec.Millis(&s.HostListPeriod, 50*time.Millisecond, time.Minute)},
	}
}

func (s *Settings) limitFields() []spec.Field {
	return []spec.Field{
		{Section: "Membership", Key: "HeartbeatMillis", Unit: "ms", Default: "500", Allowed: "50 to 10000", About: "Time between two heartbeats to another host.", Set: spec.Millis(&s.HeartbeatPeriod, 50*time.Millisecond, 10*time.Second)},
		{Section: "Membership", Key: "FailAfterMillis", Unit: "ms", Default: "5000", Allowed: "200 to 60000", About: "How long a silent host stays in callers' answers.", Set: spec.Millis(&s.FailAfter, 200*time.Millisecond, time.Minute)},
		{Section: "Requests", Key: "DeadlineAtMostMillis", Unit: "ms", Default: "60000", Allowed: "100 to 3600000", About: "Longest deadline that a request may have.", Set: spec.Millis(&s.DeadlineAtMost, 100*time.Millisecond, time.Hour)},
		{Section: "Requests", Key: "BodyBytesAtMost", Unit: "bytes", Default: "1073741824", Allowed: "1024 to 1099511627776", About: "Largest body of a request.", Set: spec.Int(&s.BodyBytesAtMost, 1024, 1<<40)},
		{Section: "Requests", Key: "KeysRemembered", Unit: "keys", Default: "100000", Allowed: "100 to 10000000", About: "Keyed requests remembered at once.", Set: spec.Int(&s.KeysRemembered, 100, 10000000)},
		{Section: "Requests", Key: "AnswerBytesRemembered", Unit: "bytes", Default: "16777216", Allowed: "0 to 1073741824", About: "Bodies of remembered answers, all together.", Set: spec.Int(&s.AnswerBytesRemembered, 0, 1<<30)},
		{Section: "Observability", Key: "EventsKept", Unit: "events", Default: "8192", Allowed: "16 to 1000000", About: "Events kept for the time line.", Set: spec.Int(&s.EventsKept, 16, 1000000)},
		{Section: "Observability", Key: "LogLevels", Default: "all=info", Allowed: "subsystem=level values separated by commas", About: "Log level of each subsystem.", Set: s.setLogLevels},
		{Section: "Observability", Key: "Pprof", Default: "Off", Allowed: "On or Off", About: "Profiling endpoint on the admin address.", Set: spec.Choice(&s.Pprof, "On", "Off")},
	}
}

func (s *Settings) setLogLevels(value string) bool {
	s.LogLevels = value
	_, err := logs.New(nil, "", value)
	return err == nil
}

func parseSeconds(into *time.Duration) func(string) bool {
	return func(value string) bool {
		var parsed float64
		isValid := spec.Float(&parsed, 0.1, 600)(value)
		*into = time.Duration(parsed * float64(time.Second))
		return isValid
	}
}

func parseBool(into *bool) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.ParseBool(value)
		*into = parsed
		return err == nil
	}
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func parseAddress(into *string) func(string) bool {
	return func(value string) bool {
		*into = value
		return isAddress(value)
	}
}

// stopGraceShare is the part of the grace time that a stopping host uses; the rest is for its own end on a busy machine.
const stopGraceShare = 0.9

// sameAddress stands for the listening address.
const sameAddress = "Same"

func parseAdvertised(into *string) func(string) bool {
	return func(value string) bool {
		*into = value
		return value == sameAddress || isAddress(value)
	}
}

func parseAddresses(into *[]string) func(string) bool {
	return func(value string) bool {
		*into = nil
		if value == "none" || value == "" {
			// A template leaves the value out where there is no other host.
			return true
		}
		for item := range strings.SplitSeq(value, ",") {
			if !isAddress(strings.TrimSpace(item)) {
				return false
			}
			*into = append(*into, strings.TrimSpace(item))
		}
		return true
	}
}

// Parse returns the checked settings; a refused value gives a *spec.FieldError.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	if err := spec.ParseFields(file, text, s.Fields()); err != nil {
		return Settings{}, err
	}
	if s.CallerAdvertised == sameAddress {
		s.CallerAdvertised = s.CallerAddress
	}
	if s.PeerAdvertised == sameAddress {
		s.PeerAdvertised = s.PeerAddress
	}
	s.StopTimeout = time.Duration(stopGraceShare * float64(s.StopGrace))
	if s.FailAfter < 2*s.HeartbeatPeriod {
		return Settings{}, &spec.FieldError{File: file, Section: "Membership", Key: "FailAfterMillis", Value: s.FailAfter.String(), Allowed: "at least twice HeartbeatMillis"}
	}
	return s, nil
}

// Load reads the settings from a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "reading settings %s", path)
	}
	return Parse(path, text)
}
