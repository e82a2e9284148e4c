package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeDelay is the time that each answer of the store takes.
	storeDelay = 4 * time.Millisecond
	// maxStoreWait is the longest time for which a read may wait for a record.
	maxStoreWait = 30 * time.Second
	// maxPageItems is the number of records in a page of newest records.
	maxPageItems = 500
	lengthBytes  = 4
)

type storeRecord struct {
	key   string
	value []byte
}

// store simulates the platform's metadata store: keyed topics with one partition each,
// whose records are all kept.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: make(map[string][]storeRecord), changed: make(chan struct{})}
	server := &http.Server{Handler: s, ReadHeaderTimeout: maxStoreWait}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

func (s *store) close() {
	_ = s.listener.Close()
}

// put appends a record. A nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key: key, value: value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/api/log-newest":
		s.serveNewest(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// newestItem is a record in the answer to log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	last := make(map[string]int)
	for offset, record := range s.topics[topic] {
		last[record.key] = offset
	}
	items := []newestItem{}
	for key, offset := range last {
		if value := s.topics[topic][offset].value; value != nil && key > after {
			items = append(items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset})
		}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	hasMore := len(items) > maxPageItems
	items = items[:min(len(items), maxPageItems)]
	writeJSON(w, map[string]any{"items": items, "has-more": hasMore, "end-offset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	waitMillis, _ := strconv.Atoi(query.Get("wait-ms"))
	limit := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxStoreWait))
	isOver := waitMillis == 0
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(records) > from || isOver {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-limit:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []storeRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
		out = append(out, byte(len(record.key)))
		out = append(out, record.key...)
		out = append(out, record.value...)
	}
	return out
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	first := len(s.topics[topic])
	s.mu.Unlock()
	count := 0
	for ; len(body) >= lengthBytes; count++ {
		size := int(binary.BigEndian.Uint32(body))
		content := body[lengthBytes : lengthBytes+size]
		body = body[lengthBytes+size:]
		keyLength := int(content[0])
		s.put(topic, string(content[1:1+keyLength]), content[1+keyLength:])
	}
	writeJSON(w, map[string]int{"offset": first, "end-offset": first + count})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
