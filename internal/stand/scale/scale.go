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
	targetProcesses = 20
	slots           = 4
	// settleTime is the time between the end of populate and the first measurement.
	settleTime   = 8 * time.Second
	idleDuration = 10 * time.Second
	changeCount  = 20
	pollPeriod   = 5 * time.Millisecond
	awaitTimeout = 30 * time.Second
	// clockTicksPerSecond is USER_HZ on Linux. CPU times in /proc are counted in these ticks.
	clockTicksPerSecond = 100
	kibPerMiB           = 1024
	percent             = 100
)

// systemSize is the size of a system to measure.
type systemSize struct {
	hosts, services, targets int
}

func sizes() []systemSize {
	return []systemSize{{13, 4, 60}, {13, 130, 60}, {13, 130, 920}, {26, 4, 60}, {26, 130, 920}, {40, 130, 920}}
}

// Run measures the sizes with the given number of hosts, or all sizes if it is zero, and prints the
// results of each. Memory is printed in MiB.
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
			formatValue(mean(m.cpuPercent)), formatValue(slices.Max(m.cpuPercent)), formatValue(mean(m.residentMiB)), formatValue(slices.Max(m.residentMiB)),
			formatValue(mean(m.controlBytesPerSecond)), formatValue(slices.Max(m.controlBytesPerSecond)), formatValue(median(m.changeMillis)), formatValue(slices.Max(m.changeMillis)))
		fmt.Fprintf(out, "       host restart: ready after %.0f ms, %.0f bytes of control traffic until 1 s after that; document change: %.0f bytes per host\n",
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

// measurements are the results for one size, with one value per host in cpuPercent, residentMiB and
// controlBytesPerSecond.
type measurements struct {
	cpuPercent, residentMiB, controlBytesPerSecond []float64
	// changeMillis holds the time of each document change in ms, from its append to the log until every host
	// has applied it.
	changeMillis []float64
	// changeBytes is the control traffic of the first host per document change, beyond its idle traffic.
	changeBytes float64
	// readyMillis is the time from the start of a host's new process until it is ready, in ms, and startBytes
	// is its control traffic until 1 s after that.
	readyMillis float64
	startBytes  float64
}

func measure(ctx context.Context, s systemSize, program, standin string) (*measurements, error) {
	dir, err := os.MkdirTemp("", "curranttiller-scale-")
	if err != nil {
		return nil, eris.Wrap(err, "creating a temporary folder")
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

// populate publishes the documents and adds the targets to the host list, and waits until every host has every
// service. The targets share the addresses of targetProcesses real targets, because callers send them no requests and
// only the length of the host list matters.
func populate(ctx context.Context, f *fleet.Fleet, client *plat.Client, s systemSize) error {
	rows := make([]plat.Host, 0, s.targets)
	for i := range s.targets {
		process := f.Targets[i%len(f.Targets)]
		rows = append(rows, plat.Host{
			Name: fmt.Sprintf("t%d", i), Role: plat.RoleTarget, Service: serviceName(i % s.services),
			Address: process.Address, FailureDomain: f.Domain(i), State: plat.StateLive,
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

// propose appends a proposal of a document to the log and returns its offset, which becomes the version of the
// document. base is the version that the document replaces. The comment is part of the document, which otherwise
// is always the same.
func propose(ctx context.Context, client *plat.Client, service string, base uint64, comment string) (uint64, error) {
	document := fleet.Service{Name: service, Slots: slots, DocumentLines: "# " + comment}
	record := ledger.Record{Kind: ledger.KindProposal, ID: service, Author: "scale", Service: service, Base: base, Text: document.DocumentText()}
	encoded, err := record.Encode()
	if err != nil {
		return 0, err
	}
	return client.Append(ctx, plat.StreamDocuments, encoded)
}

// await polls a condition until it holds or awaitTimeout has passed.
func await(condition func() bool) error {
	started := time.Now()
	for !condition() {
		if time.Since(started) > awaitTimeout {
			return eris.New("timed out waiting for the entry hosts to reach the expected state")
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

// measureIdle measures the resource use of every host while there are no requests and no changes.
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
		m.residentMiB = append(m.residentMiB, readResidentMiB(h.PID()))
	}
}

// measureChanges changes documents one after the other and waits each time until every host has applied the
// change. The idle traffic that it subtracts from the control traffic comes from measureIdle.
func (m *measurements) measureChanges(ctx context.Context, f *fleet.Fleet, client *plat.Client, s systemSize) error {
	before := fetchControlBytes(ctx, f.Hosts[0].AdminAddress)
	started := time.Now()
	versions := make(map[string]uint64)
	for _, d := range fetchDocuments(ctx, f.Hosts[0].AdminAddress).Known {
		versions[d.Service] = d.Version
	}
	for i := range changeCount {
		name := serviceName(i % s.services)
		appended := time.Now()
		offset, err := propose(ctx, client, name, versions[name], fmt.Sprint("change ", i))
		if err != nil {
			return err
		}
		versions[name] = offset
		if err := awaitVersion(ctx, f, offset); err != nil {
			return err
		}
		m.changeMillis = append(m.changeMillis, float64(time.Since(appended).Microseconds())/1000)
	}
	idleBytes := m.controlBytesPerSecond[0] * time.Since(started).Seconds()
	m.changeBytes = max(fetchControlBytes(ctx, f.Hosts[0].AdminAddress)-before-idleBytes, 0) / changeCount
	return nil
}

// fetchDocuments returns the document state of a host, or an empty one if the host does not answer.
func fetchDocuments(ctx context.Context, address string) admin.Documents {
	documents, _ := load.FetchJSON[admin.Documents](ctx, address, "/tiller/documents")
	return documents
}

// awaitVersion waits until every host has applied the log of documents up to and including an offset.
func awaitVersion(ctx context.Context, f *fleet.Fleet, offset uint64) error {
	pending := slices.Clone(f.Hosts)
	return await(func() bool {
		pending = slices.DeleteFunc(pending, func(h *fleet.Host) bool { return fetchDocuments(ctx, h.AdminAddress).Through >= offset })
		return len(pending) == 0
	})
}

// measureStart kills the last host and starts it again. It measures the time from the start until the host is
// ready, and the control traffic until 1 s after that.
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

// readCPUSeconds returns the user and system CPU time of a process, or 0 if it cannot be read.
func readCPUSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	// These are utime and stime, fields 14 and 15 of the file. Fields 1 and 2 are cut off above.
	const userField, systemField = 11, 12
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / clockTicksPerSecond
}

// readResidentMiB returns the resident memory of a process in MiB, or 0 if it cannot be read.
func readResidentMiB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.ParseFloat(fields[1], 64)
			return kib / kibPerMiB
		}
	}
	return 0
}

// fetchControlBytes returns the bytes of control traffic that an entry host has counted since its start, or 0 if
// its metrics cannot be read.
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
