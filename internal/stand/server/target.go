package server

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/stand/noise"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxLoadHistory    = 4096
	paddingChunkBytes = 32 << 10
)

// Options describe a target.
type Options struct {
	Name  string
	Slots int
	// MaxQueueLength is how many requests may wait; more are shed as not run.
	MaxQueueLength int
	// ProbeServiceTime is the slot time of a probe.
	ProbeServiceTime time.Duration
	// MaxConnections bounds the open connections; more are closed at once.
	MaxConnections int
}

// Behaviour is what POST /control sets.
type Behaviour struct {
	Noise noise.Shape
	// StartUnixNanos is the time zero of the noise.
	StartUnixNanos int64
	// FailFast answers everything with status 500 at once.
	FailFast bool
	// Draining says so on every answer; RefuseNew also refuses new work as not run.
	Draining  bool
	RefuseNew bool
	// LieZero reports no load, whatever there is.
	LieZero bool
	// ReportDelayMillis makes reports that old.
	ReportDelayMillis int
	// CutAfterRun runs the work and closes the connection without an answer.
	CutAfterRun bool
	// CutBody sends half of the answer and closes the connection.
	CutBody bool
	// EndByClose sends answers whose length only the end of the connection tells.
	EndByClose bool
}

// loadSample is what the target reports.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// Target is one stand-in; it is safe for concurrent use.
type Target struct {
	options         Options
	http            *http.Server
	serving         sync.WaitGroup
	slots           chan struct{}
	openConnections atomic.Int64

	mu              sync.Mutex
	behaviour       Behaviour
	schedule        *noise.Schedule
	running         int
	waiting         int
	loadHistory     []loadSample
	runCounts       map[string]int
	stats           Stats
	drainingSince   time.Time
	probeUnixMillis []int64
}

// Stats counts what a target did.
type Stats struct {
	Name      string
	Requests  int
	Runs      int
	Probes    int
	Cancelled int
	Refused   int
	// LateNew counts the new work that came more than 3 s after draining began.
	LateNew int
	// MostConnections is the largest number of open connections.
	MostConnections int64
	// ProbeUnixMillis are the times of the probes.
	ProbeUnixMillis []int64
	// BusyMillis is the slot time spent on requests and BusyProbeMillis that on probes.
	BusyMillis      float64
	BusyProbeMillis float64
	WastedMillis    float64
}

// Start serves a listener until Close.
func Start(listener net.Listener, options Options) *Target {
	t := &Target{
		options:   options,
		slots:     make(chan struct{}, options.Slots),
		runCounts: make(map[string]int),
		schedule:  noise.NewSchedule(noise.Shape{}, options.Name),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.handleRequest)
	mux.HandleFunc("GET /load", t.handleProbe)
	mux.HandleFunc("POST /control", t.handleControl)
	mux.HandleFunc("GET /runs", t.handleRuns)
	mux.HandleFunc("GET /stats", t.handleStats)
	t.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ConnState: t.countConnection}
	t.serving.Go(func() { _ = t.http.Serve(listener) })
	return t
}

// Close stops the stand-in and waits for it.
func (t *Target) Close() {
	_ = t.http.Close()
	t.serving.Wait()
}

func (t *Target) countConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		open := t.openConnections.Add(1)
		t.mu.Lock()
		t.stats.MostConnections = max(t.stats.MostConnections, open)
		t.mu.Unlock()
		if t.options.MaxConnections > 0 && open > int64(t.options.MaxConnections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		t.openConnections.Add(-1)
	default:
	}
}

// enqueue counts a request that wants a slot, and reports whether it may wait.
func (t *Target) enqueue() (Behaviour, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Requests++
	if t.behaviour.Draining && time.Since(t.drainingSince) > 3*time.Second {
		t.stats.LateNew++
	}
	if t.behaviour.RefuseNew || t.waiting >= t.options.MaxQueueLength {
		t.stats.Refused++
		return t.behaviour, false
	}
	t.waiting++
	t.recordLoad()
	return t.behaviour, true
}

// recordLoad keeps the load for late reports; t.mu is held.
func (t *Target) recordLoad() {
	if len(t.loadHistory) >= maxLoadHistory {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadHistory/2:]...)
	}
	t.loadHistory = append(t.loadHistory, loadSample{at: time.Now(), running: t.running, waiting: t.waiting})
}

// acquireSlot waits for a slot.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		t.mu.Lock()
		defer t.mu.Unlock()
		t.waiting--
		t.recordLoad()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.running++
	t.recordLoad()
	return true
}

func (t *Target) releaseSlot() {
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.recordLoad()
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	ctx, cancel := withDeadline(r)
	defer cancel()
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	behaviour, mayWait := t.enqueue()
	if behaviour.FailFast {
		t.dequeue(mayWait)
		t.setLoadHeaders(w)
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return
	}
	if !mayWait || !t.acquireSlot(ctx) {
		t.writeRefusal(w)
		return
	}
	finished := t.runWork(ctx, r)
	t.releaseSlot()
	if !finished {
		return
	}
	if status := callNext(r.WithContext(ctx), received); status != http.StatusOK {
		t.setLoadHeaders(w)
		http.Error(w, "a call further down failed", status)
		return
	}
	t.writeAnswer(w, r, &behaviour, body)
}

func (t *Target) dequeue(entered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entered {
		t.waiting--
	}
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(header.DeadlineMillis))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

func (t *Target) writeRefusal(w http.ResponseWriter) {
	t.setLoadHeaders(w)
	w.Header().Set(header.Refused, "NotRun")
	http.Error(w, "refused before it ran", http.StatusServiceUnavailable)
}

// runWork does the work of a request and records it. Reads stop when they are
// cancelled; the effect of other requests stays.
func (t *Target) runWork(ctx context.Context, r *http.Request) bool {
	micros, _ := strconv.ParseInt(r.Header.Get(WorkMicrosHeader), 10, 64)
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	t.mu.Lock()
	t.stats.Runs++
	if operation := r.Header.Get(OperationHeader); operation != "" && !isRead {
		t.runCounts[operation]++
	}
	t.mu.Unlock()
	if !isRead {
		ctx = context.WithoutCancel(ctx)
	}
	started := time.Now()
	finished := t.simulateWork(ctx, time.Duration(micros)*time.Microsecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := float64(time.Since(started).Microseconds()) / 1000
	t.stats.BusyMillis += busy
	if !finished {
		t.stats.Cancelled++
		t.stats.WastedMillis += busy
	}
	return finished
}

// simulateWork lets work pass at the speed of the schedule.
func (t *Target) simulateWork(ctx context.Context, work time.Duration) bool {
	t.mu.Lock()
	schedule := t.schedule
	zero := time.Unix(0, t.behaviour.StartUnixNanos)
	t.mu.Unlock()
	start := time.Since(zero)
	timer := time.NewTimer(schedule.Finish(start, work) - start)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Answer is the body of an answer, ahead of the padding.
type Answer struct {
	Target    string
	Operation string
	Path      string
	BodyBytes int64
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, behaviour *Behaviour, bodyBytes int64) {
	if behaviour.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	t.setLoadHeaders(w)
	encoded, _ := json.Marshal(Answer{
		Target: t.options.Name, Operation: r.Header.Get(OperationHeader), Path: r.URL.RequestURI(), BodyBytes: bodyBytes,
	})
	padding, _ := strconv.ParseInt(r.Header.Get(PaddingBytesHeader), 10, 64)
	if behaviour.EndByClose {
		t.writeUntilClose(w, encoded)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(encoded))+padding, 10))
	if behaviour.CutBody {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
	writePadding(w, padding)
}

// writeUntilClose answers in the manner of HTTP/1.0.
func (t *Target) writeUntilClose(w http.ResponseWriter, encoded []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buffer.Write(encoded)
	_ = buffer.Flush()
	_ = conn.Close()
}

func writePadding(w io.Writer, left int64) {
	piece := make([]byte, paddingChunkBytes)
	for left > 0 {
		n, err := w.Write(piece[:min(left, paddingChunkBytes)])
		if err != nil {
			return
		}
		left -= int64(n)
	}
}

func (t *Target) setLoadHeaders(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := t.reportedLoad()
	w.Header().Set(header.Running, strconv.Itoa(reported.running))
	w.Header().Set(header.Waiting, strconv.Itoa(reported.waiting))
	if t.behaviour.Draining {
		w.Header().Set(header.Draining, "true")
	}
}

// reportedLoad is the load as the target states it; t.mu is held.
func (t *Target) reportedLoad() loadSample {
	if t.behaviour.LieZero {
		return loadSample{}
	}
	delay := time.Duration(t.behaviour.ReportDelayMillis) * time.Millisecond
	if delay == 0 {
		return loadSample{running: t.running, waiting: t.waiting}
	}
	seen := loadSample{}
	for _, l := range t.loadHistory {
		if time.Since(l.at) < delay {
			break
		}
		seen = l
	}
	return seen
}

// handleProbe costs slot time, as on a real server.
func (t *Target) handleProbe(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.stats.Probes++
	t.stats.BusyProbeMillis += float64(t.options.ProbeServiceTime.Microseconds()) / 1000
	t.probeUnixMillis = append(t.probeUnixMillis, time.Now().UnixMilli())
	isFailing := t.behaviour.FailFast
	t.mu.Unlock()
	if isFailing {
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	t.simulateWork(r.Context(), t.options.ProbeServiceTime)
	<-t.slots
	t.setLoadHeaders(w)
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) handleControl(w http.ResponseWriter, r *http.Request) {
	var behaviour Behaviour
	if err := json.NewDecoder(r.Body).Decode(&behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if behaviour.Draining && !t.behaviour.Draining {
		t.drainingSince = time.Now()
	}
	t.behaviour = behaviour
	t.schedule = noise.NewSchedule(behaviour.Noise, t.options.Name)
	_, _ = io.WriteString(w, "{}")
}

func (t *Target) handleRuns(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	runs := maps.Clone(t.runCounts)
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(runs)
}

func (t *Target) handleStats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	stats := t.stats
	stats.Name = t.options.Name
	stats.ProbeUnixMillis = append([]int64(nil), t.probeUnixMillis...)
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(stats)
}
