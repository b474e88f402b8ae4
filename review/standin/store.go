package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the example deployment.
const (
	recordBytes     = 262_144
	requestBytes    = 2_097_152
	writesPerSecond = 800
	readsPerSecond  = 2000
	appendTime      = 4 * time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
	defaultReadKB   = 1024
	maxReadWait     = 30 * time.Second
	repeatsKnown    = 5
)

// Store is the platform's metadata store. It keeps all records.
type Store struct {
	mutex   sync.Mutex
	topics  map[string]*topic
	changed chan struct{}

	second        int64
	writes, reads int
	refused       map[string]int
}

type topic struct {
	records  []record
	epoch    uint64
	sequence uint64 // the next one that is expected
	started  bool   // an append with the newest epoch was made
	repeats  []repeat
}

type record struct {
	key, value string
}

type repeat struct {
	epoch, sequence uint64
	answer          string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{}), refused: make(map[string]int)}
}

func (store *Store) topic(name string) *topic {
	if store.topics[name] == nil {
		store.topics[name] = &topic{}
	}
	return store.topics[name]
}

// Write appends a record as the operator or a minion does. An empty value deletes the key.
func (store *Store) Write(name, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(store.topic(name), []record{{key, value}})
}

func (store *Store) add(topic *topic, records []record) {
	topic.records = append(topic.records, records...)
	close(store.changed)
	store.changed = make(chan struct{})
}

// count counts a call and reports whether the rate of the second allows it.
func (store *Store) count(calls *int, limit int) bool {
	if now := time.Now().Unix(); now != store.second {
		store.second, store.writes, store.reads = now, 0, 0
	}
	*calls++
	return *calls <= limit
}

// Refusals returns how often the store refused an append, by reason.
func (store *Store) Refusals() map[string]int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	refused := make(map[string]int)
	for reason, count := range store.refused {
		refused[reason] = count
	}
	return refused
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/log-append":
		store.serveAppend(writer, request)
	case "/api/log-read":
		store.serveRead(writer, request)
	case "/api/log-newest":
		store.serveNewest(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *Store) serveAppend(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	query := request.URL.Query()
	records, tooLarge := splitRecords(body)
	store.mutex.Lock()
	allowed := store.count(&store.writes, writesPerSecond)
	if tooLarge {
		store.refused[query.Get("topic")+" record or request too large"]++
	}
	store.mutex.Unlock()
	if !allowed {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if tooLarge {
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	status, answer := store.append(query, records)
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, answer)
}

// splitRecords decodes the records of an append, and reports whether one of them or all
// together are too large.
func splitRecords(body []byte) ([]record, bool) {
	if len(body) > requestBytes {
		return nil, true
	}
	var records []record
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > recordBytes {
			return nil, true
		}
		content := body[4 : 4+length]
		valueStart := 1 + int(content[0])
		records = append(records, record{string(content[1:valueStart]), string(content[valueStart:])})
		body = body[4+length:]
	}
	return records, false
}

func (store *Store) append(query map[string][]string, records []record) (int, string) {
	get := func(name string) string {
		if len(query[name]) == 0 {
			return ""
		}
		return query[name][0]
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	topic := store.topic(get("topic"))
	if at := get("at"); at != "" && at != strconv.Itoa(len(topic.records)) {
		return http.StatusPreconditionFailed, fmt.Sprintf(`{"endOffset":%d}`, len(topic.records))
	}
	epoch, _ := strconv.ParseUint(get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(get("sequence"), 10, 64)
	hasProducer := get("producer") != ""
	if hasProducer {
		if epoch < topic.epoch {
			return http.StatusConflict, `{"reason":"fenced"}`
		}
		if epoch > topic.epoch {
			topic.epoch, topic.started = epoch, false
		}
		for _, repeat := range topic.repeats {
			if len(records) > 0 && repeat.epoch == epoch && repeat.sequence == sequence {
				return http.StatusOK, repeat.answer
			}
		}
		if len(records) > 0 && topic.started && sequence != topic.sequence {
			return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","sequence":%d}`, topic.sequence)
		}
	}
	offset := len(topic.records)
	store.add(topic, records)
	answer := fmt.Sprintf(`{"offset":%d,"endOffset":%d}`, offset, len(topic.records))
	if hasProducer && len(records) > 0 {
		topic.started, topic.sequence = true, sequence+1
		topic.repeats = append(topic.repeats, repeat{epoch, sequence, answer})
		topic.repeats = topic.repeats[max(0, len(topic.repeats)-repeatsKnown):]
	}
	return http.StatusOK, answer
}

func (store *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	maxKB, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	first := true
	for {
		store.mutex.Lock()
		if first && !store.count(&store.reads, readsPerSecond) {
			store.mutex.Unlock()
			writer.WriteHeader(http.StatusTooManyRequests)
			return
		}
		first = false
		records, changed := store.topic(query.Get("topic")).records, store.changed
		store.mutex.Unlock()
		if from < len(records) || wait == 0 {
			_, _ = writer.Write(encodeRead(records, from, maxKB<<10))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func encodeRead(records []record, from, limit int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for index := from; index < len(records); index++ {
		record := records[index]
		length := 1 + len(record.key) + len(record.value)
		if index > from && len(body)+4+length > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(length))
		body = append(append(append(body, byte(len(record.key))), record.key...), record.value...)
	}
	return body
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (store *Store) serveNewest(writer http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("dependsOn")
	store.mutex.Lock()
	allowed := store.count(&store.reads, readsPerSecond)
	records := store.topic(request.URL.Query().Get("topic")).records
	store.mutex.Unlock()
	if !allowed {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		value := base64.StdEncoding.EncodeToString([]byte(records[newest[key]].value))
		size += len(key) + len(value)
		if len(items) == pageItems || (len(items) > 0 && size > pageBytes) {
			break
		}
		items = append(items, item{key, value, newest[key]})
	}
	encoded, _ := json.Marshal(map[string]any{"items": items, "hasMore": len(items) < len(keys), "endOffset": len(records)})
	_, _ = writer.Write(encoded)
}
