package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// pageItems is the largest number of records in a page of newest records.
const pageItems = 500

type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store with the calls that entry hosts make.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// isDown makes the store refuse all calls.
	isDown bool
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// put appends a record. An empty value removes the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key: key, value: []byte(value)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls, those that wait for a record too.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuses() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]int)
	for offset, item := range records {
		last[item.key] = offset
	}
	keys := make([]string, 0, len(last))
	for key, offset := range last {
		if len(records[offset].value) > 0 && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[last[key]].value), "offset": last[key]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": hasMore, "end-offset": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
			if s.refuses() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []record, from int) {
	if from > len(records) {
		w.WriteHeader(http.StatusGone)
		_, _ = fmt.Fprint(w, `{"first-offset":0}`)
		return
	}
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for _, item := range records[from:] {
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(item.key)+len(item.value)))
		raw = append(raw, byte(len(item.key)))
		raw = append(raw, item.key...)
		raw = append(raw, item.value...)
	}
	_, _ = w.Write(raw)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := string(body[5 : 5+int(body[4])])
	s.put(r.URL.Query().Get("topic"), key, string(body[5+int(body[4]):]))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, `{"offset":0,"end-offset":1}`)
}
