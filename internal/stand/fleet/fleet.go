package fleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
	"gitlab.com/curranttiller/curranttiller/internal/stand/tamper"
)

const (
	pollPeriod   = 20 * time.Millisecond
	awaitTimeout = 20 * time.Second
)

// Service describes one service and its targets.
type Service struct {
	Name string
	// Targets is the number of targets.
	Targets int
	// Slots is the number of requests that each target processes at once.
	Slots int
	// DocumentLines are INI lines that are appended to the required lines of the service's document.
	DocumentLines string
}

// Options describe the system to start.
type Options struct {
	// Program is the path of the program curranttiller, which runs the entry hosts.
	Program string
	// Standin is the path of the program that runs the platform, the targets and the proxy.
	Standin string
	// Dir is the folder for settings and logs.
	Dir string
	// Hosts is the number of entry hosts. They and the targets are distributed over Domains failure domains.
	Hosts    int
	Domains  int
	Services []Service
	// Retention is how long the platform keeps records, and ListLag the delay until a
	// change of its host list becomes visible.
	Retention time.Duration
	ListLag   time.Duration
	// NoSeedPeers omits the addresses of peers from the settings, so that hosts find each
	// other through the platform's list.
	NoSeedPeers bool
	// HostListPeriod is the time between an entry host's reads of the list. Zero means 200 ms.
	HostListPeriod time.Duration
	// NoProxy connects the processes directly, without the proxy, for measurements.
	NoProxy bool
	// SettingsLines are INI lines that are appended to the settings of every entry host.
	SettingsLines string
}

// Host is an entry host of the system.
type Host struct {
	*Process

	Name string
	// CallerAddress is the address for callers, which is the proxy's unless NoProxy is set.
	CallerAddress string
	AdminAddress  string
	SettingsPath  string
}

// Target is a target of the system.
type Target struct {
	Name    string
	Service string
	// Domain is the failure domain.
	Domain string
	// DirectAddress is the address on which the target listens. Address is the proxy's
	// address for the target, which entry hosts use.
	DirectAddress string
	Address       string
}

// Fleet is a running system.
type Fleet struct {
	Options

	PlatformAddress     string
	ProxyControlAddress string
	Hosts               []*Host
	Targets             []*Target

	platform        *Process
	proxy           *Process
	targetProcesses map[string]*Process
}

// Start starts the platform, the targets, the proxy and the entry hosts. It returns
// when every entry host reports all entry hosts as alive.
func Start(ctx context.Context, options *Options) (*Fleet, error) {
	f := &Fleet{Options: *options, targetProcesses: make(map[string]*Process)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startTargets(ctx); err != nil {
		return err
	}
	if err := f.startHosts(ctx); err != nil {
		return err
	}
	return f.AwaitMembership(ctx, f.Hosts)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	addresses, err := FreeAddresses(2)
	if err != nil {
		return err
	}
	f.PlatformAddress = addresses[0]
	f.ProxyControlAddress = addresses[1]
	f.platform, err = StartProcess(f.Dir, "platform", f.Standin, "platform",
		"--listen", f.PlatformAddress, "--retention-millis", fmt.Sprint(f.Retention.Milliseconds()),
		"--list-lag-millis", fmt.Sprint(f.ListLag.Milliseconds()))
	if err != nil {
		return err
	}
	return await(ctx, "the platform to respond", func() bool {
		_, err := load.FetchJSON[map[string]any](ctx, f.PlatformAddress, "/stats")
		return err == nil
	})
}

// Domain returns the failure domain of entry host n of the system or of target n of a
// service, counted from zero.
func (f *Fleet) Domain(n int) string {
	return fmt.Sprintf("domain%d", n%f.Domains+1)
}

func (f *Fleet) startTargets(ctx context.Context) error {
	var hosts []plat.Host
	for _, s := range f.Services {
		addresses, err := FreeAddresses(2 * s.Targets)
		if err != nil {
			return err
		}
		names := make([]string, 0, s.Targets)
		for i := range s.Targets {
			t := &Target{
				Name: fmt.Sprintf("%s%d", s.Name, i+1), Service: s.Name, Domain: f.Domain(i),
				DirectAddress: addresses[2*i], Address: addresses[2*i+1],
			}
			if f.NoProxy {
				t.Address = t.DirectAddress
			}
			f.Targets = append(f.Targets, t)
			names = append(names, t.Name+"="+t.DirectAddress)
			hosts = append(hosts, plat.Host{Name: t.Name, Role: plat.RoleTarget, Service: s.Name, Address: t.Address, FailureDomain: t.Domain, State: plat.StateLive})
		}
		process, err := StartProcess(f.Dir, "targets-"+s.Name, f.Standin, "target",
			"--targets", strings.Join(names, ","), "--slots", fmt.Sprint(s.Slots))
		if err != nil {
			return err
		}
		f.targetProcesses[s.Name] = process
	}
	return f.ChangeHosts(ctx, hosts)
}

// ChangeHosts adds or replaces entry hosts and targets on the platform's list, and removes
// those with an empty state.
func (f *Fleet) ChangeHosts(ctx context.Context, hosts []plat.Host) error {
	return PostJSON(ctx, f.PlatformAddress, "/hosts", hosts)
}

func (f *Fleet) startHosts(ctx context.Context) error {
	// Each host has, in this order, the address on which it listens for callers, the proxy's address for
	// callers, the address on which it listens for peers, the proxy's address for peers, and the admin address.
	const addressesPerHost = 5
	addresses, err := FreeAddresses(addressesPerHost * f.Options.Hosts)
	if err != nil {
		return err
	}
	var routes []string
	var rows []plat.Host
	for _, t := range f.Targets {
		routes = append(routes, t.Name+"="+t.Address+">"+t.DirectAddress)
	}
	peers := make([]string, 0, f.Options.Hosts)
	for i := range f.Options.Hosts {
		peers = append(peers, addresses[addressesPerHost*i+3])
	}
	platformAddresses, err := FreeAddresses(f.Options.Hosts)
	if err != nil {
		return err
	}
	for i := range f.Options.Hosts {
		own := addresses[addressesPerHost*i : addressesPerHost*(i+1)]
		if f.NoProxy {
			own[1] = own[0]
			own[2] = own[3]
			platformAddresses[i] = f.PlatformAddress
		}
		name := fmt.Sprintf("entry%d", i+1)
		routes = append(routes,
			name+"-callers="+own[1]+">"+own[0],
			name+"-peers="+own[3]+">"+own[2],
			name+"-platform="+platformAddresses[i]+">"+f.PlatformAddress)
		settings, err := f.writeSettings(name, f.Domain(i), own, platformAddresses[i], peers)
		if err != nil {
			return err
		}
		rows = append(rows, plat.Host{Name: name, Role: plat.RoleEntry, Address: peers[i], FailureDomain: f.Domain(i), State: plat.StateLive})
		f.Hosts = append(f.Hosts, &Host{Name: name, CallerAddress: own[1], AdminAddress: own[4], SettingsPath: settings})
	}
	if err := f.ChangeHosts(ctx, rows); err != nil {
		return err
	}
	return f.startProxyAndHosts(routes)
}

func (f *Fleet) startProxyAndHosts(routes []string) error {
	path := filepath.Join(f.Dir, "routes")
	if err := os.WriteFile(path, []byte(strings.Join(routes, "\n")), 0o600); err != nil {
		return eris.Wrap(err, "writing the routes of the proxy")
	}
	var err error
	if !f.NoProxy {
		f.proxy, err = StartProcess(f.Dir, "proxy", f.Standin, "proxy", "--control", f.ProxyControlAddress, "--routes", path)
		if err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		h.Process, err = StartProcess(f.Dir, h.Name, f.Program, "entry", h.SettingsPath)
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxSeedPeers limits the peer addresses in the settings of a host, which finds its other peers through these.
	maxSeedPeers          = 3
	defaultHostListPeriod = 200 * time.Millisecond
)

// writeSettings writes the settings file of an entry host and returns its path. own holds
// the host's addresses in the order that startHosts states.
func (f *Fleet) writeSettings(name, domain string, own []string, platform string, peers []string) (string, error) {
	path := filepath.Join(f.Dir, name+".ini")
	seeds := strings.Join(peers[:min(maxSeedPeers, len(peers))], ",")
	if f.NoSeedPeers {
		seeds = "none"
	}
	text := fmt.Sprintf(`[Host]
Name = %s
FailureDomain = %s
CallerAddress = %s
CallerAdvertised = %s
PeerAddress = %s
PeerAdvertised = %s
AdminAddress = %s

[Peers]
Addresses = %s

[Platform]
Address = %s
LogRetentionMillis = %d
HostListPeriodMillis = %d
%s
`, name, domain, own[0], own[1], own[2], own[3], own[4], seeds,
		platform, f.Retention.Milliseconds(), cmp.Or(f.HostListPeriod, defaultHostListPeriod).Milliseconds(), f.SettingsLines)
	return path, eris.Wrap(os.WriteFile(path, []byte(text), 0o600), "writing the settings of an entry host")
}

// AwaitMembership waits until each of the given hosts reports as many hosts alive as are
// given. It does not compare their names. It returns an error after 20 s.
func (f *Fleet) AwaitMembership(ctx context.Context, hosts []*Host) error {
	return await(ctx, "the entry hosts to report each other as alive", func() bool {
		for _, h := range hosts {
			if f.aliveMembers(ctx, h) != len(hosts) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) aliveMembers(ctx context.Context, h *Host) int {
	status, err := load.FetchJSON[admin.Status](ctx, h.AdminAddress, "/tiller/status")
	if err != nil {
		return 0
	}
	alive := 0
	for i := range status.Members {
		if status.Members[i].State == "Alive" {
			alive++
		}
	}
	return alive
}

// DocumentText returns the service's document, which is its configuration in INI format.
func (s *Service) DocumentText() string {
	return fmt.Sprintf("[Service]\nName = %s\nSlots = %d\n%s\n", s.Name, s.Slots, s.DocumentLines)
}

// Publish publishes the document of a service with the publish command and returns the
// command's output. base is the version that the document replaces.
func (f *Fleet) Publish(ctx context.Context, s *Service, base uint64) (string, error) {
	path := filepath.Join(f.Dir, s.Name+".ini")
	if err := os.WriteFile(path, []byte(s.DocumentText()), 0o600); err != nil {
		return "", eris.Wrap(err, "writing a service's document")
	}
	out, err := exec.CommandContext(ctx, f.Program, "publish", "--base", fmt.Sprint(base), "--author", "fleet",
		"--platform", f.PlatformAddress, "--admin", f.AdminAddresses(), path).CombinedOutput()
	return string(out), eris.Wrapf(err, "publishing %s: %s", s.Name, out)
}

// PublishDocuments publishes the first version of every service's document and waits
// until each entry host has all of them and at least one target of each service.
func (f *Fleet) PublishDocuments(ctx context.Context) error {
	for i := range f.Services {
		if _, err := f.Publish(ctx, &f.Services[i], 0); err != nil {
			return err
		}
	}
	return f.awaitDocuments(ctx)
}

func (f *Fleet) awaitDocuments(ctx context.Context) error {
	return await(ctx, "the entry hosts to have documents and targets of all services", func() bool {
		for _, h := range f.Hosts {
			status, err := load.FetchJSON[admin.Status](ctx, h.AdminAddress, "/tiller/status")
			if err != nil || len(status.Services) != len(f.Services) {
				return false
			}
			for i := range status.Services {
				if len(status.Services[i].Targets) == 0 {
					return false
				}
			}
		}
		return true
	})
}

// AdminAddresses returns the admin addresses of the entry hosts, separated by commas.
func (f *Fleet) AdminAddresses() string {
	addresses := make([]string, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		addresses = append(addresses, h.AdminAddress)
	}
	return strings.Join(addresses, ",")
}

// CallerAddresses returns the addresses of the entry hosts for callers.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// TargetAddresses returns the direct addresses of a service's targets. An empty name selects all services.
func (f *Fleet) TargetAddresses(service string) []string {
	var addresses []string
	for _, t := range f.Targets {
		if service == "" || t.Service == service {
			addresses = append(addresses, t.DirectAddress)
		}
	}
	return addresses
}

// Host returns the entry host with this name, or nil if there is none.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Target returns the target with this name, or nil if there is none.
func (f *Fleet) Target(name string) *Target {
	for _, t := range f.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// SetBehaviour replaces the behaviour of a target, such as its faults and slowdowns.
func (f *Fleet) SetBehaviour(ctx context.Context, t *Target, behaviour *server.Behaviour) error {
	return PostJSON(ctx, t.DirectAddress, "/control", behaviour)
}

// ApplyFault applies a network fault at the proxy.
func (f *Fleet) ApplyFault(ctx context.Context, fault tamper.Fault) error {
	return PostJSON(ctx, f.ProxyControlAddress, "/", fault)
}

// Close kills every process. It waits only for the platform and the proxy to end.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.Process != nil {
			h.Signal(9)
		}
	}
	for _, p := range f.targetProcesses {
		p.Signal(9)
	}
	for _, p := range []*Process{f.proxy, f.platform} {
		if p != nil {
			p.Kill()
		}
	}
}

// await polls a condition until it holds. It returns an error after awaitTimeout or when the context ends.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return eris.Errorf("timed out waiting for %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

// PostJSON sends a JSON body. It returns an error if the response status is not 200.
func PostJSON(ctx context.Context, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encoding the JSON body")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "creating the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "posting to %s%s", address, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("POST to %s%s returned status %d", address, path, response.StatusCode)
	}
	return nil
}
