package server

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math"
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
	// maxLoadHistory is the largest number of load samples kept for delayed reports. The older half is dropped when it is reached.
	maxLoadHistory    = 4096
	paddingChunkBytes = 32 << 10
)

// Options are the fixed properties of a target.
type Options struct {
	// Name identifies the target in responses and counters. Targets with different names have different noise.
	Name string
	// Slots is the number of requests that the target processes at once.
	Slots int
	// MaxQueueLength is the largest number of requests that wait for a slot. Further ones are refused as not run.
	MaxQueueLength int
	// ProbeServiceTime is how long a probe occupies a slot.
	ProbeServiceTime time.Duration
	// MaxConnections limits the open connections. Further ones are closed at once. Zero means no limit.
	MaxConnections int
}

// Behaviour is the JSON body of POST /control. Fields that are absent are reset to zero.
type Behaviour struct {
	// Noise describes the periods in which the target is slow.
	Noise noise.Shape
	// StartUnixNanos is the Unix time in ns at which the schedule of the noise starts.
	StartUnixNanos int64
	// FailFast answers every request and probe with status 500 at once.
	FailFast bool
	// Draining adds the Draining header to every response that carries the load headers.
	Draining bool
	// RefuseNew refuses new requests as not run.
	RefuseNew bool
	// LieZero reports a load of zero whatever the actual load is.
	LieZero bool
	// ReportDelayMillis is the age in ms of the load that the target reports.
	ReportDelayMillis int
	// CutAfterRun processes a request and closes its connection without a response.
	CutAfterRun bool
	// CutBody sends half of the JSON of the response body and closes the connection.
	CutBody bool
	// EndByClose sends responses without Content-Length, which end when the connection is closed.
	// They have no load headers and no padding.
	EndByClose bool
	// Limit is the text of the Limit header of every response that carries the load headers;
	// empty for none.
	Limit string
}

// loadSample is the load of a target at one time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// Target simulates one target. It is safe for concurrent use.
type Target struct {
	options         Options
	http            *http.Server
	serving         sync.WaitGroup
	slots           chan struct{}
	openConnections atomic.Int64
	limit           LimitRecord

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

// Stats holds the counters that GET /stats returns as JSON.
type Stats struct {
	Name string
	// Requests counts the received requests, and Runs those whose processing started.
	Requests int
	Runs     int
	Probes   int
	// Cancelled counts the reads that were cancelled or reached their deadline while they ran.
	Cancelled int
	// Refused counts the requests refused because the queue was full or RefuseNew was set.
	Refused int
	// LateNew counts the requests received more than 3 s after draining began.
	LateNew int
	// OverLimit is the number of requests and probes beyond those allowed in the worst window
	// while the target named a limit.
	OverLimit int
	// MostConnections is the largest number of connections that were open at once.
	MostConnections int64
	// ProbeUnixMillis are the times of the probes.
	ProbeUnixMillis []int64
	// BusyMillis is the slot time in ms spent on requests.
	BusyMillis float64
	// BusyProbeMillis is the number of probes times Options.ProbeServiceTime in ms.
	BusyProbeMillis float64
	// WastedMillis is the slot time in ms spent on the requests that Cancelled counts.
	WastedMillis float64
}

// Start starts a target that serves on a listener until Close is called.
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

// Close closes the listener and all connections. Handlers may still run when it returns.
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

// enqueue counts a request and adds it to the queue, even if a slot is free. It returns false if the request is refused.
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

// recordLoad stores the current load for delayed reports. t.mu must be held.
func (t *Target) recordLoad() {
	if len(t.loadHistory) >= maxLoadHistory {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadHistory/2:]...)
	}
	t.loadHistory = append(t.loadHistory, loadSample{at: time.Now(), running: t.running, waiting: t.waiting})
}

// acquireSlot waits for a slot. It returns false if the context ends first.
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
	t.limit.Add(r.Header.Get(OperationHeader))
	behaviour, queued := t.enqueue()
	if behaviour.FailFast {
		t.dequeue(queued)
		t.setLoadHeaders(w)
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return
	}
	if !queued || !t.acquireSlot(ctx) {
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
		http.Error(w, "nested call failed", status)
		return
	}
	t.writeAnswer(w, r, &behaviour, body)
}

func (t *Target) dequeue(queued bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queued {
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
	http.Error(w, "request refused before it ran", http.StatusServiceUnavailable)
}

// runWork counts a run of a request and waits for its service time. The request must
// hold a slot. runWork returns false if the request was cancelled or its deadline
// passed. Only reads end early, because other requests have side effects that remain.
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

// simulateWork waits until work is done, which is the service time at full speed. Slow
// periods of the noise make the wait longer. It returns false if the context ends first.
func (t *Target) simulateWork(ctx context.Context, work time.Duration) bool {
	t.mu.Lock()
	schedule := t.schedule
	scheduleStart := time.Unix(0, t.behaviour.StartUnixNanos)
	t.mu.Unlock()
	startOffset := time.Since(scheduleStart)
	timer := time.NewTimer(schedule.Finish(startOffset, work) - startOffset)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Answer is the JSON at the start of a response body.
type Answer struct {
	// Target is the name of the target that processed the request.
	Target string
	// Operation and Path are those of the request.
	Operation string
	Path      string
	// BodyBytes is the length of the request body.
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

// writeUntilClose writes a response whose body ends when the connection is closed, as in HTTP/1.0.
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
	chunk := make([]byte, paddingChunkBytes)
	for left > 0 {
		n, err := w.Write(chunk[:min(left, paddingChunkBytes)])
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
	if t.behaviour.Limit != "" {
		w.Header().Set(header.Limit, t.behaviour.Limit)
	}
	if t.behaviour.Draining {
		w.Header().Set(header.Draining, "true")
	}
}

// reportedLoad returns the load that the target reports, which differs from the actual
// load under LieZero and ReportDelayMillis. t.mu must be held.
func (t *Target) reportedLoad() loadSample {
	if t.behaviour.LieZero {
		return loadSample{}
	}
	delay := time.Duration(t.behaviour.ReportDelayMillis) * time.Millisecond
	if delay == 0 {
		return loadSample{running: t.running, waiting: t.waiting}
	}
	latest := loadSample{}
	for _, l := range t.loadHistory {
		if time.Since(l.at) < delay {
			break
		}
		latest = l
	}
	return latest
}

// handleProbe answers a probe with the load headers. It occupies a slot, because a
// probe takes processing time on a real server too.
func (t *Target) handleProbe(w http.ResponseWriter, r *http.Request) {
	t.limit.Add("")
	t.mu.Lock()
	t.stats.Probes++
	t.stats.BusyProbeMillis += float64(t.options.ProbeServiceTime.Microseconds()) / 1000
	t.probeUnixMillis = append(t.probeUnixMillis, time.Now().UnixMilli())
	failFast := t.behaviour.FailFast
	t.mu.Unlock()
	if failFast {
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
	t.limit.Name(behaviour.Limit)
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
	if worst, isExceeded := t.limit.WorstExcess(func(LimitArrival) bool { return true }); isExceeded {
		stats.OverLimit = int(math.Ceil(float64(worst.Got) - worst.Allowed))
	}
	_ = json.NewEncoder(w).Encode(stats)
}
