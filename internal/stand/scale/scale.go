package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/plat"
	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/pkg/ledger"
)

const (
	targetProcesses     = 20
	slots               = 4
	settleTime          = 8 * time.Second
	idleDuration        = 10 * time.Second
	changeCount         = 20
	pollPeriod          = 5 * time.Millisecond
	awaitTimeout        = 30 * time.Second
	clockTicksPerSecond = 100
	kibPerMiB           = 1024
	percent             = 100
)

// systemSize is one system that is measured.
type systemSize struct {
	hosts, services, targets int
}

func sizes() []systemSize {
	return []systemSize{{13, 4, 60}, {13, 130, 60}, {13, 130, 920}, {26, 4, 60}, {26, 130, 920}, {40, 130, 920}}
}

// Run measures every size with a number of hosts, or every size for zero, and prints a row for each.
func Run(ctx context.Context, program, standin string, hosts int, out io.Writer) error {
	const columns = "%6s %9s %8s %10s %10s %9s %9s %12s %12s %12s %14s\n"
	fmt.Fprintf(out, columns, "Hosts", "Services", "Targets", "CPU%mean", "CPU%most", "RSS.MB", "RSS.most", "Bytes/s", "Bytes/s.most", "ChangeP50ms", "ChangeMost.ms")
	for _, s := range sizes() {
		if hosts > 0 && s.hosts != hosts {
			continue
		}
		m, err := measure(ctx, s, program, standin)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, columns, fmt.Sprint(s.hosts), fmt.Sprint(s.services), fmt.Sprint(s.targets),
			formatValue(mean(m.cpuPercent)), formatValue(slices.Max(m.cpuPercent)), formatValue(mean(m.residentMB)), formatValue(slices.Max(m.residentMB)),
			formatValue(mean(m.controlBytesPerSecond)), formatValue(slices.Max(m.controlBytesPerSecond)), formatValue(median(m.changeMillis)), formatValue(slices.Max(m.changeMillis)))
		fmt.Fprintf(out, "       start of a fresh host: ready after %.0f ms, %.0f bytes of control traffic until then and the next second; document change: %.0f bytes a host\n",
			m.readyMillis, m.startBytes, m.changeBytes)
	}
	return nil
}

func formatValue(f float64) string {
	return strconv.FormatFloat(f, 'f', 2, 64)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// measurements holds one value a host, but for the changes and the start.
type measurements struct {
	cpuPercent, residentMB, controlBytesPerSecond []float64
	// changeMillis are the times in ms from the append of a change until it is in force on every host.
	changeMillis []float64
	changeBytes  float64
	readyMillis  float64
	startBytes   float64
}

func measure(ctx context.Context, s systemSize, program, standin string) (*measurements, error) {
	dir, err := os.MkdirTemp("", "curranttiller-scale-")
	if err != nil {
		return nil, eris.Wrap(err, "making a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, &fleet.Options{
		Program: program, Standin: standin, Dir: dir, Hosts: s.hosts, Domains: 7, NoProxy: true,
		HostListPeriod: time.Second, Retention: time.Hour, ListLag: 100 * time.Millisecond,
		Services: []fleet.Service{{Name: "real", Targets: targetProcesses, Slots: slots}},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	client := plat.NewClient(f.PlatformAddress, new(atomic.Int64))
	defer client.Close()
	if err := populate(ctx, f, client, s); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	m := &measurements{}
	m.measureIdle(ctx, f)
	if err := m.measureChanges(ctx, f, client, s); err != nil {
		return nil, err
	}
	return m, m.measureStart(ctx, f)
}

// populate publishes the documents and lists the targets, many of which share an address.
func populate(ctx context.Context, f *fleet.Fleet, client *plat.Client, s systemSize) error {
	rows := make([]plat.Host, 0, s.targets)
	for i := range s.targets {
		actual := f.Targets[i%len(f.Targets)]
		rows = append(rows, plat.Host{
			Name: fmt.Sprintf("t%d", i), Role: plat.RoleTarget, Service: serviceName(i % s.services),
			Address: actual.Address, FailureDomain: f.Domain(i), State: plat.StateLive,
		})
	}
	if err := f.ChangeHosts(ctx, rows); err != nil {
		return err
	}
	for i := range s.services {
		if _, err := propose(ctx, client, serviceName(i), 0, ""); err != nil {
			return err
		}
	}
	return await(func() bool {
		for _, h := range f.Hosts {
			status, err := load.FetchJSON[admin.Status](ctx, h.AdminAddress, "/tiller/status")
			if err != nil || len(status.Services) < s.services {
				return false
			}
		}
		return true
	})
}

func serviceName(i int) string {
	return fmt.Sprintf("service%d", i)
}

// propose appends a proposal and returns its offset.
func propose(ctx context.Context, client *plat.Client, service string, base uint64, comment string) (uint64, error) {
	document := fleet.Service{Name: service, Slots: slots, DocumentLines: "# " + comment}
	record := ledger.Record{Kind: ledger.KindProposal, ID: service, Author: "scale", Service: service, Base: base, Text: document.DocumentText()}
	encoded, err := record.Encode()
	if err != nil {
		return 0, err
	}
	return client.Append(ctx, plat.StreamDocuments, encoded)
}

func await(holds func() bool) error {
	started := time.Now()
	for !holds() {
		if time.Since(started) > awaitTimeout {
			return eris.New("gave up waiting")
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

func (m *measurements) measureIdle(ctx context.Context, f *fleet.Fleet) {
	cpu := make([]float64, len(f.Hosts))
	bytes := make([]float64, len(f.Hosts))
	for i, h := range f.Hosts {
		cpu[i] = readCPUSeconds(h.PID())
		bytes[i] = fetchControlBytes(ctx, h.AdminAddress)
	}
	started := time.Now()
	time.Sleep(idleDuration)
	seconds := time.Since(started).Seconds()
	for i, h := range f.Hosts {
		m.cpuPercent = append(m.cpuPercent, percent*(readCPUSeconds(h.PID())-cpu[i])/seconds)
		m.controlBytesPerSecond = append(m.controlBytesPerSecond, (fetchControlBytes(ctx, h.AdminAddress)-bytes[i])/seconds)
		m.residentMB = append(m.residentMB, readResidentMB(h.PID()))
	}
}

func (m *measurements) measureChanges(ctx context.Context, f *fleet.Fleet, client *plat.Client, s systemSize) error {
	before := fetchControlBytes(ctx, f.Hosts[0].AdminAddress)
	started := time.Now()
	base := make(map[string]uint64)
	for _, d := range fetchDocuments(ctx, f.Hosts[0].AdminAddress).Known {
		base[d.Service] = d.Version
	}
	for i := range changeCount {
		name := serviceName(i % s.services)
		appended := time.Now()
		offset, err := propose(ctx, client, name, base[name], fmt.Sprint("change ", i))
		if err != nil {
			return err
		}
		base[name] = offset
		if err := awaitVersion(ctx, f, offset); err != nil {
			return err
		}
		m.changeMillis = append(m.changeMillis, float64(time.Since(appended).Microseconds())/1000)
	}
	idle := m.controlBytesPerSecond[0] * time.Since(started).Seconds()
	m.changeBytes = max(fetchControlBytes(ctx, f.Hosts[0].AdminAddress)-before-idle, 0) / changeCount
	return nil
}

func fetchDocuments(ctx context.Context, address string) admin.Documents {
	answer, _ := load.FetchJSON[admin.Documents](ctx, address, "/tiller/documents")
	return answer
}

// awaitVersion waits until every host has read the log through an offset.
func awaitVersion(ctx context.Context, f *fleet.Fleet, offset uint64) error {
	left := slices.Clone(f.Hosts)
	return await(func() bool {
		left = slices.DeleteFunc(left, func(h *fleet.Host) bool { return fetchDocuments(ctx, h.AdminAddress).Through >= offset })
		return len(left) == 0
	})
}

// measureStart replaces a host and measures what its start costs.
func (m *measurements) measureStart(ctx context.Context, f *fleet.Fleet) error {
	h := f.Hosts[len(f.Hosts)-1]
	h.Kill()
	started := time.Now()
	if err := h.Start(); err != nil {
		return err
	}
	err := await(func() bool {
		status, err := load.FetchJSON[admin.Status](ctx, h.AdminAddress, "/tiller/status")
		return err == nil && status.Ready
	})
	m.readyMillis = float64(time.Since(started).Milliseconds())
	time.Sleep(time.Second)
	m.startBytes = fetchControlBytes(ctx, h.AdminAddress)
	return err
}

// readCPUSeconds reads the processor time of a process.
func readCPUSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	const userField, systemField = 11, 12
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / clockTicksPerSecond
}

// readResidentMB reads the resident memory of a process.
func readResidentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / kibPerMiB
		}
	}
	return 0
}

// fetchControlBytes reads a daemon's count of control traffic.
func fetchControlBytes(ctx context.Context, address string) float64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), "curranttiller_control_bytes "); found {
			count, _ := strconv.ParseFloat(value, 64)
			return count
		}
	}
	return 0
}
