package platf

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
)

const (
	maxAppendBytes    = 1 << 20
	trimPeriod        = 50 * time.Millisecond
	maxReadRecords    = 512
	readHeaderTimeout = 5 * time.Second
)

// Options are the limits of a simulated platform.
type Options struct {
	// Retention is how long records are kept.
	Retention time.Duration
	// AppendsPerSecond limits the rate of appends, with bursts of up to one second's worth.
	// Further appends are refused with status 429.
	AppendsPerSecond int
	// ListLag is the delay until a change of the host list becomes visible.
	ListLag time.Duration
}

// Faults is the JSON body of POST /control. Fields that are absent are reset to zero.
type Faults struct {
	// Outage answers appends, reads and GET /hosts with status 503.
	Outage bool
	// DelayMillis is the delay in ms of appends, reads and GET /hosts.
	DelayMillis int
	// LoseReplies stores the records of appends but closes the connection without a reply.
	LoseReplies bool
	// TrimTo removes the records before this offset from every stream, once.
	TrimTo uint64
}

// Platform simulates the platform. It is safe for concurrent use.
type Platform struct {
	options Options
	http    *http.Server
	running sync.WaitGroup
	stop    chan struct{}

	mu              sync.Mutex
	streams         map[string]*stream
	faults          Faults
	hosts           map[string]plat.Host
	hostList        plat.HostsReply
	tokens          float64
	tokensUpdatedAt time.Time
	appends         uint64
	reads           uint64
	bytesSent       uint64
}

// stream is one append-only log.
type stream struct {
	// first is the offset of the oldest record kept, or of the next append if none is kept.
	first   uint64
	records []plat.Record
	// changed is closed and replaced at every append.
	changed chan struct{}
}

func (s *stream) next() uint64 {
	return s.first + uint64(len(s.records))
}

// Start starts a platform that serves on a listener until Close is called.
func Start(listener net.Listener, options Options) *Platform {
	p := &Platform{
		options:         options,
		stop:            make(chan struct{}),
		streams:         make(map[string]*stream),
		hosts:           make(map[string]plat.Host),
		hostList:        plat.HostsReply{Revision: 1},
		tokens:          float64(options.AppendsPerSecond),
		tokensUpdatedAt: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.withFaults(p.handleAppend))
	mux.HandleFunc("GET /log/{stream}", p.withFaults(p.handleRead))
	mux.HandleFunc("GET /hosts", p.withFaults(p.handleGetHosts))
	mux.HandleFunc("POST /hosts", p.handleSetHosts)
	mux.HandleFunc("POST /control", p.handleControl)
	mux.HandleFunc("GET /stats", p.handleStats)
	p.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	p.running.Go(func() { _ = p.http.Serve(listener) })
	p.running.Go(p.trimLoop)
	return p
}

// Close closes the listener and all connections. Handlers may still run when it returns.
func (p *Platform) Close() {
	close(p.stop)
	_ = p.http.Close()
	p.running.Wait()
}

func (p *Platform) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if !wait(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
			return
		}
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

func wait(ctx context.Context, delay time.Duration) bool {
	if delay == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// stream returns the stream with a name and creates it on first use. p.mu must be held.
func (p *Platform) stream(name string) *stream {
	s, found := p.streams[name]
	if !found {
		s = &stream{first: 1, changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	if !p.takeToken(time.Now()) {
		p.mu.Unlock()
		http.Error(w, "rate limit of appends exceeded", http.StatusTooManyRequests)
		return
	}
	s := p.stream(r.PathValue("stream"))
	offset := s.next()
	s.records = append(s.records, plat.Record{Offset: offset, UnixMillis: time.Now().UnixMilli(), Body: body})
	close(s.changed)
	s.changed = make(chan struct{})
	p.appends++
	loseReply := p.faults.LoseReplies
	p.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	p.writeReply(w, plat.AppendReply{Offset: offset})
}

// takeToken takes a token for one append from the token bucket. It returns false if
// there is none. p.mu must be held.
func (p *Platform) takeToken(now time.Time) bool {
	rate := float64(p.options.AppendsPerSecond)
	p.tokens = min(p.tokens+rate*now.Sub(p.tokensUpdatedAt).Seconds(), rate)
	p.tokensUpdatedAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// handleRead returns up to maxReadRecords records, beginning with the offset that the
// query parameter "from" states. If the stream has no record at or after this offset, and
// the record at the offset was not trimmed, it first waits for an append, for at most the
// number of ms in the query parameter "waitMillis".
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter \"from\" is not an offset", http.StatusBadRequest)
		return
	}
	millis, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for {
		reply, changed := p.readFrom(r.PathValue("stream"), from)
		if len(reply.Records) > 0 || reply.First > from {
			p.writeReply(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			p.writeReply(w, reply)
			return
		case <-r.Context().Done():
			return
		case <-p.stop:
			return
		}
	}
}

func (p *Platform) readFrom(name string, from uint64) (plat.ReadReply, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	s := p.stream(name)
	reply := plat.ReadReply{First: s.first, Next: s.next(), NowUnixMillis: time.Now().UnixMilli()}
	if from < s.next() {
		start := max(from, s.first) - s.first
		end := min(start+maxReadRecords, uint64(len(s.records)))
		reply.Records = append(reply.Records, s.records[start:end]...)
	}
	return reply, s.changed
}

func (p *Platform) trimLoop() {
	ticker := time.NewTicker(trimPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.trim(now.Add(-p.options.Retention).UnixMilli(), 0)
		}
	}
}

// trim removes the records that are older than a Unix time in ms or that precede an offset.
func (p *Platform) trim(beforeUnixMillis int64, beforeOffset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.streams {
		for len(s.records) > 0 && (s.records[0].UnixMillis < beforeUnixMillis || s.records[0].Offset < beforeOffset) {
			s.records = s.records[1:]
			s.first++
		}
	}
}

// handleGetHosts returns the host list. It omits the hosts if the query parameter
// revision is the current revision.
func (p *Platform) handleGetHosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := p.hostList
	p.mu.Unlock()
	if r.URL.Query().Get("revision") == strconv.FormatUint(list.Revision, 10) {
		list.Hosts = nil
	}
	p.writeReply(w, list)
}

// handleSetHosts adds the received hosts to the list or replaces those with the same
// names. A host with an empty state is removed from the list. The change becomes
// visible on the list after Options.ListLag.
func (p *Platform) handleSetHosts(w http.ResponseWriter, r *http.Request) {
	var changes []plat.Host
	if err := json.NewDecoder(r.Body).Decode(&changes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(p.options.ListLag, func() { p.changeHosts(changes) })
	p.writeReply(w, struct{}{})
}

func (p *Platform) changeHosts(changes []plat.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range changes {
		if h.State == "" {
			delete(p.hosts, h.Name)
		} else {
			p.hosts[h.Name] = h
		}
	}
	list := plat.HostsReply{Revision: p.hostList.Revision + 1}
	for _, h := range p.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	p.hostList = list
}

func (p *Platform) handleControl(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.trim(0, faults.TrimTo)
	p.writeReply(w, struct{}{})
}

// Stats holds the counters that GET /stats returns as JSON.
type Stats struct {
	Appends uint64
	// Reads counts how often a stream was read. A read that waits for records counts again at every append.
	Reads uint64
	// Bytes is the total length of the JSON replies in bytes.
	Bytes uint64
}

func (p *Platform) handleStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	counted := Stats{Appends: p.appends, Reads: p.reads, Bytes: p.bytesSent}
	p.mu.Unlock()
	p.writeReply(w, counted)
}

func (p *Platform) writeReply(w http.ResponseWriter, reply any) {
	encoded, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	p.bytesSent += uint64(len(encoded))
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
