package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Figures of a small deployment.
const (
	hostCount        = 3
	configVersion    = 7
	graceSeconds     = 6
	routeTimeoutMs   = 4000
	storeName        = "keyed.op"
	serversName      = "keyed.servers"
	hostName         = "ficu95.example"
	orderPrefix      = "/orders/"
	readPrefix       = "/reads/"
	serviceName      = "orderdesk"
	readyWait        = 20 * time.Second
	readyCheckPeriod = 50 * time.Millisecond
)

// program is the program of the deploy file.
var program = "target/curranttiller"

// host is one entry host, which runs as a process of its own.
type host struct {
	name, front, ready, directory, control, own string
	command                                     *exec.Cmd
	exited                                      chan struct{}
}

// deployment is a small fleet of entry hosts with their store.
type deployment struct {
	dir     string
	store   *store
	address string
	server  *http.Server
	hosts   []*host
	log     *log
	// taken are the addresses of the hosts.
	taken map[string]bool
	// timeoutMs is that of the routes.
	timeoutMs int
}

// Ports are taken below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// dial connects to a host within the time that consumers allow.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP, and differs
// from those returned before.
func (d *deployment) freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if d.taken[address] {
			continue
		}
		listener, err := listen(address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		var config net.ListenConfig
		conn, err := config.ListenPacket(context.Background(), "udp", address)
		if err != nil {
			continue
		}
		_ = conn.Close()
		d.taken[address] = true
		return address, nil
	}
	return "", errors.New("no port is free")
}

func newDeployment(l *log) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-stand2-")
	if err != nil {
		return nil, err
	}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go removeAtSignal(dir)
	d := &deployment{dir: dir, store: newStore(), address: listener.Addr().String(), log: l, timeoutMs: routeTimeoutMs, taken: make(map[string]bool)}
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// removeAtSignal removes a folder and ends the process at a signal to stop.
func removeAtSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	_ = os.RemoveAll(dir)
	os.Exit(exitFailed)
}

// configure writes a configuration with one route for orders, which may run once, and one
// for reads, which may be repeated.
func (d *deployment) configure() {
	rule := func(name, kind, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"route-kind":%q,"slo-latency-ms":800,"priority":1,"public":false,"match":{"path-prefix":%q},"action":{"service":%q,"timeout-ms":%d,"max-attempts":2}}`, name, kind, prefix, serviceName, d.timeoutMs)
	}
	d.store.put(storeName, "config", fmt.Sprintf(`{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"base-version":"%08x","listeners":[{"host":%q,"policy":[%s,%s]}],"clusters":[{"name":%q,"health-path":"/health","max-conns":260,"protocol":"h1","tls":false}]}`,
		configVersion, configVersion-1, hostName, rule("r-orders", "non_idempotent", orderPrefix), rule("r-reads", "idempotent", readPrefix), serviceName))
}

// start starts the entry hosts with the settings of deploy/entry.ini, and waits until they are ready.
func (d *deployment) start(memoryMB int) error {
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	var seeds []string
	for i := range hostCount {
		h := &host{name: fmt.Sprintf("front-a-%d", i+1)}
		for _, address := range []*string{&h.front, &h.ready, &h.directory, &h.control, &h.own} {
			if *address, err = d.freeAddress(); err != nil {
				return err
			}
		}
		seeds = append(seeds, h.control)
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		if err := d.launch(h, string(template), seeds[:min(3, len(seeds))], memoryMB, true); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyWait)
	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(readyCheckPeriod)
		}
	}
	return nil
}

func (d *deployment) launch(h *host, template string, seeds []string, memoryMB int, bootstrap bool) error {
	ip, port, err := net.SplitHostPort(h.own)
	if err != nil {
		return err
	}
	settings := strings.NewReplacer(
		"{{node-name}}", h.name, "{{zone}}", "zone-a", "{{ip}}", ip, "{{port-range.0}}", port,
		"{{listen-addrs.front}}", h.front, "{{listen-addrs.ready}}", h.ready, "{{listen-addrs.directory}}", h.directory,
		"{{listen-addrs.control}}", h.control, "{{bootstrap|json}}", fmt.Sprint(bootstrap), "{{limits.cpu-share}}", "0.32",
		"{{limits.link-mbps}}", "1000", "{{limits.memory-mb}}", fmt.Sprint(memoryMB), "{{limits.max-fds}}", "4100",
		"{{seeds}}", strings.Join(seeds, ","), "{{platform.addr}}", d.address, "{{bounds.ttl_max_s}}", "5",
		"{{bounds.grace-s}}", fmt.Sprint(graceSeconds), "{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "64",
	).Replace(template)
	path := filepath.Join(d.dir, h.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil { //nolint:gosec // in the temporary folder
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.command = exec.Command(program, "entry", path) //nolint:gosec,noctx // the program of the deploy file
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	exited, command := h.exited, h.command
	go func() {
		err := command.Wait()
		d.log.printf("process of %s ended: %v", h.name, err)
		_ = output.Close()
		close(exited)
	}()
	return nil
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.ready+"/api/readiness", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

func (h *host) signal(s syscall.Signal) {
	if !h.hasExited() {
		_ = h.command.Process.Signal(s)
	}
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.command == nil || h.exited == nil {
			continue
		}
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	_ = d.server.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// register writes the entry of a target, which is ready.
func (d *deployment) register(id, address string, sequence int, born int64) {
	d.store.put(serversName, id, fmt.Sprintf(`{"addr":%q,"node-info":{"service":%q,"version":"v1","zone":"zone-a","capacity":4},"status":{"state":"ready","sequence":%d,"cold-left-ms":0},"born":%d}`, address, serviceName, sequence, born))
}
