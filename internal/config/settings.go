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

// Settings are the settings of one entry host after the checks of Parse.
type Settings struct {
	// Name is unique among the entry hosts of the platform.
	Name string
	// FailureDomain is the name of the failure domain that the host is in.
	FailureDomain string
	// CallerAddress, PeerAddress and AdminAddress are the addresses to listen on for
	// callers, for other entry hosts and for operators.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// CallerAdvertised and PeerAdvertised are the addresses under which callers and
	// other entry hosts reach this host. They differ from the addresses to listen on
	// if addresses are translated (NAT).
	CallerAdvertised string
	PeerAdvertised   string
	// Peers are the peer addresses of a few other entry hosts, by which this host
	// finds the rest.
	Peers []string
	// BeaconAddress is the UDP address on which the host receives beacons, the small
	// datagrams that entry hosts send each other. Only FormStore uses it.
	BeaconAddress string
	// PlatformAddress is the address at which the host reaches the platform.
	PlatformAddress string
	// PlatformForm is FormOwn or FormStore.
	PlatformForm string
	// ReadyAddress and DirectoryAddress are the addresses to listen on for readiness
	// checks of the platform and for directory lookups of callers. Only FormStore uses them.
	ReadyAddress     string
	DirectoryAddress string
	// SteeredHosts is the smallest number of entry hosts that callers are directed to. Only
	// FormStore uses it.
	SteeredHosts int
	// Bootstrap is true if all entry hosts start together for the first time. A host that
	// is not one of Peers then waits longer for their data before it reads the store
	// itself. Only FormStore uses it.
	Bootstrap bool
	// Cores is the number of processor cores of the host, and LinkMbits the bandwidth
	// of its network link in Mbit/s. They determine the capacity, which only FormStore uses.
	Cores     float64
	LinkMbits float64
	// SlotsPerCore and SlotsPerMbit are the numbers of target slots that the host can
	// keep busy with requests per core and per Mbit/s. A slot is room for one request
	// that a target runs.
	SlotsPerCore int
	SlotsPerMbit int
	// DirectoryHold is how long callers may cache a directory answer, which lists the
	// addresses of entry hosts. StopHold is how long a stopping host still accepts
	// requests. Only FormStore uses them.
	DirectoryHold time.Duration
	StopHold      time.Duration
	// StopGrace is the time from the stop signal until the platform kills the process.
	// StopTimeout is the part of it after which the host answers requests in flight with an
	// error. Only FormStore uses them.
	StopGrace   time.Duration
	StopTimeout time.Duration
	// RetryShare limits the extra attempts of all hosts together, as a fraction of the
	// number of requests. RetryBurst is the number that they may send at once, which is
	// the total capacity of their token buckets. Only FormStore uses them.
	RetryShare float64
	RetryBurst float64
	// HedgeShare limits the early hedges of all hosts together, as a fraction of the number of
	// requests. Only FormStore uses it.
	HedgeShare float64
	// ProbesPerSecond is the largest rate of probes that all hosts together send to one
	// target. Only FormStore uses it.
	ProbesPerSecond float64
	// LogRetention is how long the platform's log keeps a record.
	LogRetention time.Duration
	// HostListPeriod is the interval at which the host reads the platform's list of hosts.
	HostListPeriod time.Duration
	// HeartbeatPeriod is the interval between two heartbeats, each of which goes to one
	// other entry host. With FormStore it is increased if there are many entry hosts.
	HeartbeatPeriod time.Duration
	// FailAfter is the time without a sign of life of a host, received directly or
	// through other hosts, after which callers are no longer directed to it. With FormStore
	// it is increased by the same factor as HeartbeatPeriod.
	FailAfter time.Duration
	// DeadlineAtMost is the largest time limit of a request. A caller's longer limit is
	// reduced to it. With FormStore, requests without a deadline get it too.
	DeadlineAtMost time.Duration
	// BodyBytesAtMost is the largest size of a request body. A request with a larger one
	// fails.
	BodyBytesAtMost int
	// KeysRemembered is the largest number of requests with an idempotency key whose
	// outcomes are stored at once.
	KeysRemembered int
	// AnswerBytesRemembered is the largest total size of the response headers and bodies stored for
	// requests with an idempotency key.
	AnswerBytesRemembered int
	// EventsKept is the number of newest events that the host keeps for the command timeline.
	EventsKept int
	// LogLevels is a list such as "peer=debug,plat=warn", as logs.New reads it.
	LogLevels string
	// MemoryMB is the memory of the machine in MB, beyond which the process is ended, and
	// Descriptors the number of file descriptors that it may have open.
	MemoryMB    int
	Descriptors int
	// CallerConnections is the largest number of open connections of callers, and
	// CallerBytes that of the bytes held for requests and answers of callers. Zero derives
	// them from Descriptors and MemoryMB.
	CallerConnections int
	CallerBytes       int
	// HeadBytesAtMost, HeadFieldsAtMost and HeadTimeout limit the head of a request.
	// AnswerStall is how long a caller may take no byte of its answer.
	HeadBytesAtMost  int
	HeadFieldsAtMost int
	HeadTimeout      time.Duration
	AnswerStall      time.Duration
	// Pprof is "On" if the admin address serves the profiling endpoint, otherwise "Off".
	Pprof string
}

// Kinds of platforms, the systems that configure and run the entry hosts.
const (
	// FormOwn is a platform with the project's own protocol, which docs/PLATFORM.md
	// describes.
	FormOwn = "Own"
	// FormStore is a platform with a store of topics, which are logs of records with keys.
	FormStore = "Store"
)

// Capacity returns the number of target slots that the host can keep busy with requests.
// The processor or the network link limits it, whichever allows fewer.
func (s *Settings) Capacity() int {
	return int(min(s.Cores*float64(s.SlotsPerCore), s.LinkMbits*float64(s.SlotsPerMbit)))
}

// Fields returns the description of every key, with a Set function that stores the value
// in s.
func (s *Settings) Fields() []spec.Field {
	return slices.Concat(s.hostFields(), s.operationFields(), s.callerFields(), s.storeFields())
}

// storeFields returns the fields that only FormStore uses, and Form itself.
func (s *Settings) storeFields() []spec.Field {
	return []spec.Field{
		{Section: "Platform", Key: "Form", Default: FormOwn, Allowed: "Own or Store", About: "Kind of platform: Own speaks the project's own protocol, Store has a store of topics, which are logs of records with keys.", Set: spec.Choice(&s.PlatformForm, FormOwn, FormStore)},
		{Section: "Host", Key: "BeaconAddress", Default: unusedAddress, Allowed: "IP:port", About: "UDP address on which the host receives beacons, the small datagrams that entry hosts send each other (form Store).", Set: parseAddress(&s.BeaconAddress)},
		{Section: "Host", Key: "ReadyAddress", Default: unusedAddress, Allowed: "IP:port", About: "Address on which the host answers readiness checks of the platform (form Store).", Set: parseAddress(&s.ReadyAddress)},
		{Section: "Host", Key: "DirectoryAddress", Default: unusedAddress, Allowed: "IP:port", About: "Address on which the host answers directory lookups of callers (form Store).", Set: parseAddress(&s.DirectoryAddress)},
		{Section: "Steering", Key: "Hosts", Unit: "hosts", Default: "3", Allowed: "1 to 1000", About: "Smallest number of entry hosts that callers are directed to (form Store).", Set: spec.Int(&s.SteeredHosts, 1, 1000)},
		{Section: "Host", Key: "Bootstrap", Default: "false", Allowed: "true or false", About: "Whether all entry hosts start together for the first time (form Store). If true, a host that is not one of the peers in Addresses waits longer for their data before it reads the store itself.", Set: parseBool(&s.Bootstrap)},
		{Section: "Host", Key: "Cores", Unit: "cores", Default: "1", Allowed: "0.01 to 1024", About: "Number of processor cores that the host may use (form Store).", Set: spec.Float(&s.Cores, 0.01, 1024)},
		{Section: "Host", Key: "LinkMbits", Unit: "Mbit/s", Default: "1000", Allowed: "1 to 1000000", About: "Bandwidth of the host's network link (form Store).", Set: spec.Float(&s.LinkMbits, 1, 1000000)},
		{Section: "Steering", Key: "SlotsPerCore", Unit: "slots", Default: "140", Allowed: "1 to 100000", About: "Number of target slots that one core can keep busy with requests (form Store). A slot is room for one request that a target runs. If a request takes 0.5 to 0.7 ms of processor time and a slot completes one or two requests a second, the default uses 7 to 20 % of a core, which leaves room for three times this usual load.", Set: spec.Int(&s.SlotsPerCore, 1, 100000)},
		{Section: "Steering", Key: "SlotsPerMbit", Unit: "slots", Default: "5", Allowed: "1 to 100000", About: "Number of target slots that 1 Mbit/s of the network link can keep busy with requests (form Store). The default uses about a quarter of the link if a request takes 6 KB in and out and a slot completes one request a second.", Set: spec.Int(&s.SlotsPerMbit, 1, 100000)},
		{Section: "Steering", Key: "DirectoryHoldSeconds", Unit: "s", Default: "5", Allowed: "0.1 to 600", About: "How long callers may cache a directory answer (form Store). A lookup takes a caller two network round trips. A caller that caches an answer for too long may first try a stopped host and then use another address.", Set: parseSeconds(&s.DirectoryHold)},
		{Section: "Stop", Key: "HoldMillis", Unit: "ms", Default: "2500", Allowed: "0 to 600000", About: "How long a stopping host accepts requests from callers that still use its address, at most 45% of GraceSeconds (form Store). Those that are not expected to end before the stop does are refused. Later requests are accepted only if their deadline passes before that.", Set: spec.Millis(&s.StopHold, 0, 10*time.Minute)},
		{Section: "Stop", Key: "GraceSeconds", Unit: "s", Default: "6", Allowed: "0.1 to 600", About: "Time from the stop signal until the platform kills the process. After nine tenths of it the host answers the requests that are still in flight: with 503 those that have certainly not run, and with 502 the others (form Store).", Set: parseSeconds(&s.StopGrace)},
		{Section: "Retries", Key: "ShareOfRequests", Default: "0.2", Allowed: "0 to 1", About: "Largest number of extra attempts, such as retries and hedges, of all entry hosts together, as a fraction of the number of requests (form Store).", Set: spec.Float(&s.RetryShare, 0, 1)},
		{Section: "Retries", Key: "HedgeShareOfRequests", Default: "0", Allowed: "0 to 0.5; 0 sends none", About: "Largest number of second attempts, of all entry hosts together and as a fraction of the number of requests, that are sent for idempotent requests whose answer would probably miss the latency objective (form Store). They count towards ShareOfRequests too.", Set: spec.Float(&s.HedgeShare, 0, 0.5)},
		{Section: "Retries", Key: "Burst", Unit: "attempts", Default: "50", Allowed: "0 to 100000", About: "Number of extra attempts that all entry hosts together may send at once (form Store). It is the total capacity of their token buckets, which ShareOfRequests refills.", Set: spec.Float(&s.RetryBurst, 0, 100000)},
		{Section: "Measuring", Key: "ProbesPerSecond", Unit: "probes/s", Default: "10", Allowed: "0 to 10000", About: "Largest rate of probes that all entry hosts together send to one target (form Store).", Set: spec.Float(&s.ProbesPerSecond, 0, 10000)},
	}
}

// unusedAddress is the default of the addresses that only FormStore needs, so that the
// settings of a host with FormOwn are valid without them.
const unusedAddress = "0.0.0.0:1"

// hostFields returns the fields of the sections Host, Peers and Platform that every host needs.
func (s *Settings) hostFields() []spec.Field {
	return []spec.Field{
		{Section: "Host", Key: "Name", Allowed: "1 to 64 ASCII letters, digits, '-' and '_', beginning with a letter or digit", About: "Name of the host, unique among the entry hosts of the platform.", Set: spec.Name(&s.Name)},
		{Section: "Host", Key: "FailureDomain", Allowed: "1 to 64 ASCII letters, digits, '-' and '_', beginning with a letter or digit", About: "Failure domain of the host.", Set: spec.Name(&s.FailureDomain)},
		{Section: "Host", Key: "CallerAddress", Allowed: "IP:port", About: "Address on which the host accepts connections of callers.", Set: parseAddress(&s.CallerAddress)},
		{Section: "Host", Key: "PeerAddress", Allowed: "IP:port", About: "Address on which the host accepts connections of other entry hosts: at most an eighth of Descriptors less 200, or one for each 256 KiB of MemoryMB if that is less. All their messages in progress hold at most a sixteenth of MemoryMB. Callers must not reach it, because whoever calls there is believed.", Set: parseAddress(&s.PeerAddress)},
		{Section: "Host", Key: "AdminAddress", Allowed: "IP:port", About: "Address on which the host accepts connections of operators and metrics collectors: at most 64 of them, or a sixteenth of Descriptors less 200 if that is less. A head has at most 16 KiB and 256 lines. All answers in progress together hold at most a thirty-second of MemoryMB, or two answers with all events if that is more; further requests are refused with 503.", Set: parseAddress(&s.AdminAddress)},
		{Section: "Host", Key: "CallerAdvertised", Default: sameAddress, Allowed: "IP:port, or Same", About: "Address under which callers reach the host. Same means CallerAddress.", Set: parseAdvertised(&s.CallerAdvertised)},
		{Section: "Host", Key: "PeerAdvertised", Default: sameAddress, Allowed: "IP:port, or Same", About: "Address under which other entry hosts reach the host. Same means PeerAddress.", Set: parseAdvertised(&s.PeerAdvertised)},
		{Section: "Peers", Key: "Addresses", Default: "none", Allowed: "IP:port values separated by commas, or none", About: "Peer addresses of a few other entry hosts, by which this host finds the rest.", Set: parseAddresses(&s.Peers)},
		{Section: "Platform", Key: "Address", Allowed: "IP:port", About: "Address of the platform.", Set: parseAddress(&s.PlatformAddress)},
		{Section: "Platform", Key: "LogRetentionMillis", Unit: "ms", Default: "3600000", Allowed: "1000 to 8640000000", About: "How long the platform's log keeps a record.", Set: spec.Millis(&s.LogRetention, time.Second, 100*24*time.Hour)},
		{Section: "Platform", Key: "HostListPeriodMillis", Unit: "ms", Default: "1000", Allowed: "50 to 60000", About: "Interval at which the host reads the platform's list of hosts.", Set: spec.Millis(&s.HostListPeriod, 50*time.Millisecond, time.Minute)},
	}
}

// operationFields returns the fields of the sections Membership, Requests and Observability.
func (s *Settings) operationFields() []spec.Field {
	return []spec.Field{
		{Section: "Membership", Key: "HeartbeatMillis", Unit: "ms", Default: "500", Allowed: "50 to 10000", About: "Interval between two heartbeats, each of which goes to one other entry host. With form Store, it is increased if there are many entry hosts.", Set: spec.Millis(&s.HeartbeatPeriod, 50*time.Millisecond, 10*time.Second)},
		{Section: "Membership", Key: "FailAfterMillis", Unit: "ms", Default: "5000", Allowed: "200 to 60000", About: "Time without a sign of life of an entry host, received directly or through other hosts, after which callers are no longer directed to it. It must be at least twice HeartbeatMillis. With form Store, it is increased by the same factor as HeartbeatMillis.", Set: spec.Millis(&s.FailAfter, 200*time.Millisecond, time.Minute)},
		{Section: "Requests", Key: "DeadlineAtMostMillis", Unit: "ms", Default: "60000", Allowed: "100 to 3600000", About: "Largest time limit of a request. A longer limit is reduced to it. With form Store, a request without a deadline gets it too.", Set: spec.Millis(&s.DeadlineAtMost, 100*time.Millisecond, time.Hour)},
		{Section: "Requests", Key: "BodyBytesAtMost", Unit: "bytes", Default: "1073741824", Allowed: "1024 to 1099511627776", About: "Largest size of a request body, unless the platform's configuration states one (form Store). A request with a larger one fails.", Set: spec.Int(&s.BodyBytesAtMost, 1024, 1<<40)},
		{Section: "Requests", Key: "KeysRemembered", Unit: "keys", Default: "100000", Allowed: "100 to 10000000", About: "Largest number of requests with an idempotency key whose outcomes are stored at once.", Set: spec.Int(&s.KeysRemembered, 100, 10000000)},
		{Section: "Requests", Key: "AnswerBytesRemembered", Unit: "bytes", Default: "16777216", Allowed: "0 to 1073741824", About: "Largest total size of the response headers and bodies stored for requests with an idempotency key.", Set: spec.Int(&s.AnswerBytesRemembered, 0, 1<<30)},
		{Section: "Observability", Key: "EventsKept", Unit: "events", Default: "8192", Allowed: "16 to 1000000", About: "Number of newest events that the host keeps for the command timeline.", Set: spec.Int(&s.EventsKept, 16, 1000000)},
		{Section: "Observability", Key: "LogLevels", Default: "all=info", Allowed: "subsystem=level values separated by commas", About: "Log level of each subsystem: debug, info, warn or error. The subsystems are entry, front, request, target, plat and peer. The name all sets the level of every subsystem.", Set: s.setLogLevels},
		{Section: "Observability", Key: "Pprof", Default: "Off", Allowed: "On or Off", About: "Whether the admin address serves the profiling endpoint.", Set: spec.Choice(&s.Pprof, "On", "Off")},
	}
}

// callerFields returns the fields that bound what callers can make the host hold.
func (s *Settings) callerFields() []spec.Field {
	return []spec.Field{
		emptyIsDefault(spec.Field{Section: "Host", Key: "MemoryMB", Unit: "MB", Default: "512", Allowed: "32 to 1048576", About: "Memory that the process may use. The garbage collector works harder above three quarters of it.", Set: spec.Int(&s.MemoryMB, 32, 1<<20)}),
		emptyIsDefault(spec.Field{Section: "Host", Key: "Descriptors", Unit: "descriptors", Default: "4096", Allowed: "256 to 1048576", About: "Number of descriptors that the process may have open, with those of files, for which 200 are kept.", Set: spec.Int(&s.Descriptors, 256, 1<<20)}),
		{Section: "Callers", Key: "ConnectionsAtMost", Unit: "connections", Default: "0", Allowed: "0 to 1048576; 0 means seven twelfths of Descriptors less 200, or one for each 96 KiB of MemoryMB if that is less", About: "Largest number of open connections of callers. Beyond it, connections that have sent no whole head are closed first, then idle ones, then those whose body or answer moves by less than 8 KiB/s while the host waits for the caller. Lookups and readiness checks have a seventh of it for themselves, and a seventh of HeldBytesAtMost.", Set: spec.Int(&s.CallerConnections, 0, 1<<20)},
		{Section: "Callers", Key: "HeldBytesAtMost", Unit: "bytes", Default: "0", Allowed: "0 to 1099511627776; 0 means an eighth of MemoryMB", About: "Largest number of bytes held for callers: heads, bodies in memory and answers that are not read. Beyond it, connections with unfinished heads are closed first, then those whose body or answer moves by less than 8 KiB/s while the host waits for the caller; further requests are refused with 503.", Set: spec.Int(&s.CallerBytes, 0, 1<<40)},
		{Section: "Callers", Key: "HeadBytesAtMost", Unit: "bytes", Default: "65536", Allowed: "4096 to 1048576", About: "Largest head of a request, unless the platform's configuration allows a larger one (form Store). A longer one gets status 431.", Set: spec.Int(&s.HeadBytesAtMost, 4096, 1<<20)},
		{Section: "Callers", Key: "HeadFieldsAtMost", Unit: "lines", Default: "8192", Allowed: "100 to 1048576", About: "Largest number of lines in the head of a request, unless the configuration allows a head of more than three times as many bytes (form Store). One with more gets status 431.", Set: spec.Int(&s.HeadFieldsAtMost, 100, 1<<20)},
		{Section: "Callers", Key: "HeadMillis", Unit: "ms", Default: "5000", Allowed: "100 to 600000", About: "How long a caller may take to send the head of a request, or twice what the platform's configuration allows if that is longer (form Store).", Set: spec.Millis(&s.HeadTimeout, 100*time.Millisecond, 10*time.Minute)},
		{Section: "Callers", Key: "AnswerStallMillis", Unit: "ms", Default: "30000", Allowed: "100 to 3600000", About: "How long a caller may take no byte of its answer before the connection is closed, which is noticed within twice that time.", Set: spec.Millis(&s.AnswerStall, 100*time.Millisecond, time.Hour)},
	}
}

func (s *Settings) setLogLevels(value string) bool {
	s.LogLevels = value
	_, err := logs.New(nil, "", value)
	return err == nil
}

// parseSeconds returns a Set function for a duration from 0.1 to 600 seconds.
func parseSeconds(dest *time.Duration) func(string) bool {
	return func(value string) bool {
		var parsed float64
		isValid := spec.Float(&parsed, 0.1, 600)(value)
		*dest = time.Duration(parsed * float64(time.Second))
		return isValid
	}
}

func parseBool(dest *bool) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.ParseBool(value)
		*dest = parsed
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

func parseAddress(dest *string) func(string) bool {
	return func(value string) bool {
		*dest = value
		return isAddress(value)
	}
}

// stopGraceShare is the fraction of StopGrace after which a stopping host answers requests
// in flight with an error. The rest is for the other steps of the stop, which can be slow on a busy machine.
const stopGraceShare = 0.9

// sameAddress is the value of an advertised address that equals the address to listen on.
const sameAddress = "Same"

// parseAdvertised returns a Set function for an address or sameAddress, which Parse replaces.
func parseAdvertised(dest *string) func(string) bool {
	return func(value string) bool {
		*dest = value
		return value == sameAddress || isAddress(value)
	}
}

// parseAddresses returns a Set function for a list of addresses, which may be empty.
func parseAddresses(dest *[]string) func(string) bool {
	return func(value string) bool {
		*dest = nil
		if value == "none" || value == "" {
			// A deployment template for all hosts yields an empty value if there is no other host.
			return true
		}
		for item := range strings.SplitSeq(value, ",") {
			if !isAddress(strings.TrimSpace(item)) {
				return false
			}
			*dest = append(*dest, strings.TrimSpace(item))
		}
		return true
	}
}

// emptyIsDefault returns a field whose empty value counts as the default, because a template
// has one where a platform states no such limit.
func emptyIsDefault(field spec.Field) spec.Field {
	set := field.Set
	field.Set = func(value string) bool {
		if value == "" {
			value = field.Default
		}
		return set(value)
	}
	return field
}

// Parse reads settings from an INI text and checks them. The file name is used in errors
// only. Every error is a *spec.FieldError.
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
	// The other half is for the requests that arrive last.
	s.StopHold = min(s.StopHold, s.StopTimeout/2)
	if s.FailAfter < 2*s.HeartbeatPeriod {
		return Settings{}, &spec.FieldError{File: file, Section: "Membership", Key: "FailAfterMillis", Value: s.FailAfter.String(), Allowed: "at least twice HeartbeatMillis"}
	}
	return s, nil
}

// Load reads settings from a file and checks them as Parse does.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "reading the settings file %q", path)
	}
	return Parse(path, text)
}
