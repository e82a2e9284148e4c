package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	templatePath = "deploy/entry.ini"
	// readyTimeout is how long the entry hosts may take until they are ready.
	readyTimeout = 15 * time.Second
	pollPeriod   = 50 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
)

// processes are processes that the program has started. It is safe for concurrent use.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

// started holds the processes of all entry hosts.
var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, process)
}

// killAll kills the processes that have not ended.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.all {
		_ = process.Kill()
	}
}

// entryHost is the process of an entry host.
type entryHost struct {
	name                             string
	front, ready, control, directory string
	inner                            string
	command                          *exec.Cmd
	exited                           chan struct{}
}

// fleet is a set of entry hosts with their settings in a temporary folder.
type fleet struct {
	folder string
	record *recorder
	hosts  []*entryHost
}

// listen listens on a loopback address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// startFleet starts entry hosts with the settings of the deploy file, in turn in the
// zones a, b and c, and waits until all are ready.
func startFleet(env *environment, s *store, count int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: env.record}
	for i := range count {
		h, err := newEntryHost(i)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		if err := f.start(env.program, h, i, s); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

func newEntryHost(index int) (*entryHost, error) {
	h := &entryHost{name: fmt.Sprintf("front-%d", index+1)}
	for _, address := range []*string{&h.front, &h.ready, &h.control, &h.directory, &h.inner} {
		listener, err := listen(fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(200), 1+rand.IntN(200), 1+index))
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	return h, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// start renders the template of the settings and starts the process.
func (f *fleet) start(program string, h *entryHost, index int, s *store) error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	ip, innerPort, err := net.SplitHostPort(h.inner)
	if err != nil {
		return err
	}
	seeds := make([]string, 0, len(f.hosts))
	for _, other := range f.hosts[:min(len(f.hosts), 3)] {
		seeds = append(seeds, other.control)
	}
	values := map[string]string{
		"node-name": h.name, "zone": string(rune('a' + index%3)), "ip": ip, "port-range.0": innerPort,
		"listen-addrs.front": h.front, "listen-addrs.ready": h.ready, "listen-addrs.control": h.control, "listen-addrs.directory": h.directory,
		"bootstrap|json": "true", "limits.cpu-share": "0.32", "limits.link-mbps": "1000.0",
		"seeds": strings.Join(seeds, ","), "platform.addr": s.address(),
		"bounds.ttl_max_s": "5", "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "64",
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
	path := filepath.Join(f.folder, h.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil { //nolint:gosec // the file is in the temporary folder of the case
		return err
	}
	output, err := os.Create(filepath.Join(f.folder, h.name+".log"))
	if err != nil {
		return err
	}
	h.command = exec.CommandContext(context.Background(), program, "entry")
	h.command.Env = append(os.Environ(), "CURRANTTILLER_CONFIG="+path)
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	started.add(h.command.Process)
	f.record.add("host %s started, callers at %s", h.name, h.front)
	exited := make(chan struct{})
	h.exited = exited
	command := h.command
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	return nil
}

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// watch restarts the hosts that end by themselves until stop is closed, and records the
// reason. It returns how often that happened, and when each host, by its address for
// consumers, ended first.
func (f *fleet) watch(program string, s *store, stop <-chan struct{}) (ends int, firstEnd map[string]time.Time, err error) {
	firstEnd = make(map[string]time.Time)
	for {
		select {
		case <-stop:
			return ends, firstEnd, nil
		case <-time.After(pollPeriod):
		}
		for i, h := range f.hosts {
			select {
			case <-h.exited:
			default:
				continue
			}
			ends++
			if _, found := firstEnd[h.front]; !found {
				firstEnd[h.front] = time.Now()
			}
			f.record.add("host %s ended by itself: %s", h.name, f.panicLine(h))
			time.Sleep(restartDelay)
			if err := f.start(program, h, i, s); err != nil {
				return ends, firstEnd, err
			}
		}
	}
}

// panicLine returns the first line of a panic in the output of a host.
func (f *fleet) panicLine(h *entryHost) string {
	output, err := os.ReadFile(filepath.Join(f.folder, h.name+".log"))
	if err != nil {
		return err.Error()
	}
	for line := range strings.SplitSeq(string(output), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return line
		}
	}
	return "no panic in its output"
}

// awaitReady waits until all hosts answer readiness checks with 200 and the directory
// of each names at least one address.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollPeriod) {
		if f.countReady(client) == len(f.hosts) {
			f.record.add("all hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("%d of %d hosts are ready", f.countReady(client), len(f.hosts))
}

func (f *fleet) countReady(client *http.Client) int {
	ready := 0
	for _, h := range f.hosts {
		if isOK(client, "http://"+h.ready+"/api/readiness") && isOK(client, "http://"+h.directory+"/api/resolve?name=x&region=r&zone=a") {
			ready++
		}
	}
	return ready
}

func isOK(client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (f *fleet) terminate(h *entryHost) {
	f.record.add("SIGTERM to host %s", h.name)
	_ = h.command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(graceTime, func() { _ = h.command.Process.Kill() })
}

// close kills all hosts and removes the folder, unless REVIEW_KEEP is set.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
