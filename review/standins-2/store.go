//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of the nodes state them.
const (
	appendDelay  = 4 * time.Millisecond
	pageRecords  = 500
	maxReadBytes = 1 << 20
	// keptResponses is the number of appends of a producer whose repetition gets the
	// first response again.
	keptResponses = 5
)

// lostAppend says that an append gets no response and is carried out after a delay.
type lostAppend struct {
	delay time.Duration
}

// store is the platform's store, which keeps keyed topics with one partition each.
type store struct {
	recorder *recorder
	// lose returns how an append of a node is lost, nil if it is not. It may be nil.
	lose func(node, topic string, records []storedRecord) *lostAppend

	mutex    sync.Mutex
	topics   map[string]*storedTopic
	changed  chan struct{}
	writes   int
	lost     int
	lateDone time.Time
	// claimant is the node whose conditional append was carried out last.
	claimant string
}

type storedTopic struct {
	records []storedRecord
	// epoch and next are those of the only producer that the nodes use.
	epoch     uint64
	hasNext   bool
	next      uint64
	responses map[uint64]appendResponse
}

type storedRecord struct {
	key   string
	value []byte
}

type appendResponse struct {
	Offset    int    `json:"offset"`
	EndOffset int    `json:"endOffset"`
	Reason    string `json:"reason,omitempty"`
}

func newStore(recorder *recorder) *store {
	return &store{recorder: recorder, topics: make(map[string]*storedTopic), changed: make(chan struct{})}
}

func (store *store) topic(name string) *storedTopic {
	found, ok := store.topics[name]
	if !ok {
		found = &storedTopic{responses: make(map[uint64]appendResponse)}
		store.topics[name] = found
	}
	return found
}

// write appends a record of the operator or of a minion. An empty value deletes the key.
func (store *store) write(topic, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(store.topic(topic), storedRecord{key, []byte(value)})
}

func (store *store) add(topic *storedTopic, records ...storedRecord) {
	topic.records = append(topic.records, records...)
	close(store.changed)
	store.changed = make(chan struct{})
}

// counts returns the numbers of writing calls of the nodes and of those without a response.
func (store *store) counts() (writes, lost int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.writes, store.lost
}

// lastLateAppend returns when the last append without a response was carried out.
func (store *store) lastLateAppend() time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.lateDone
}

// lastClaimant returns the node that last wrote to the store under a condition.
func (store *store) lastClaimant() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.claimant
}

// handler serves the calls of one node.
func (store *store) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", func(writer http.ResponseWriter, request *http.Request) {
		store.handleAppend(node, writer, request)
	})
	mux.HandleFunc("GET /api/log-read", store.handleRead)
	mux.HandleFunc("GET /api/log-newest", store.handleNewest)
	return mux
}

func (store *store) handleAppend(node string, writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	query := request.URL.Query()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(appendDelay)
	store.mutex.Lock()
	store.writes++
	var loss *lostAppend
	if store.lose != nil {
		loss = store.lose(node, name, records)
	}
	if loss != nil {
		store.lost++
		store.mutex.Unlock()
		store.recorder.log("store: the append of %s to %s gets no response and is carried out %s later", node, describe(name, records), loss.delay)
		time.AfterFunc(loss.delay, func() { store.carryOutLate(node, name, records, query.Get) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, response := store.append(name, records, query.Get)
	if query.Has("at") && status == http.StatusOK {
		store.claimant = node
	}
	store.mutex.Unlock()
	encoded, _ := json.Marshal(response) // numbers and a string always can be encoded
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded) // fails only if the node has disconnected
}

func (store *store) carryOutLate(node, name string, records []storedRecord, query func(string) string) {
	store.mutex.Lock()
	status, _ := store.append(name, records, query)
	store.lateDone = time.Now()
	store.mutex.Unlock()
	store.recorder.log("store: the late append of %s to %s is carried out, status %d", node, describe(name, records), status)
}

func describe(topic string, records []storedRecord) string {
	keys := make([]string, 0, len(records))
	for _, record := range records {
		keys = append(keys, record.key)
	}
	return topic + " [" + strings.Join(keys, " ") + "]"
}

// append carries out an append whose conditions hold. The caller holds the mutex.
func (store *store) append(name string, records []storedRecord, query func(string) string) (int, appendResponse) {
	topic := store.topic(name)
	end := len(topic.records)
	if at := query("at"); at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, appendResponse{EndOffset: end}
	}
	isProduced := query("producer") != ""
	epoch, _ := strconv.ParseUint(query("epoch"), 10, 64)       // zero if it is missing
	sequence, _ := strconv.ParseUint(query("sequence"), 10, 64) // zero if it is missing
	if isProduced {
		if epoch < topic.epoch {
			return http.StatusConflict, appendResponse{EndOffset: end, Reason: "fenced"}
		}
		if epoch > topic.epoch {
			topic.epoch, topic.hasNext = epoch, false
			clear(topic.responses)
		}
		if len(records) > 0 {
			if first, isRepeat := topic.responses[sequence]; isRepeat {
				return http.StatusOK, first
			}
			if topic.hasNext && sequence != topic.next {
				return http.StatusConflict, appendResponse{EndOffset: end, Reason: "seq"}
			}
		}
	}
	store.add(topic, records...)
	response := appendResponse{Offset: end, EndOffset: len(topic.records)}
	if isProduced && len(records) > 0 {
		topic.hasNext, topic.next = true, sequence+1
		topic.responses[sequence] = response
		if sequence >= keptResponses {
			delete(topic.responses, sequence-keptResponses)
		}
	}
	return http.StatusOK, response
}

func splitRecords(body []byte) ([]storedRecord, bool) {
	var records []storedRecord
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if length < 1 || length > len(body) || 1+int(body[0]) > length {
			return nil, false
		}
		valueStart := 1 + int(body[0])
		records = append(records, storedRecord{string(body[1:valueStart]), slices.Clone(body[valueStart:length])})
		body = body[length:]
	}
	return records, true
}

func (store *store) handleRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))   // zero if it is missing
	wait, _ := strconv.Atoi(query.Get("waitMs")) // zero if it is missing
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		store.mutex.Lock()
		records, changed := store.topic(query.Get("topic")).records, store.changed
		store.mutex.Unlock()
		if from < len(records) || expired || wait == 0 {
			_, _ = writer.Write(encodeRead(records, from)) // fails only if the node has disconnected
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

func encodeRead(records []storedRecord, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0) // no record has expired
	for _, record := range records[min(from, len(records)):] {
		if len(body) > maxReadBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	return body
}

type listedItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (store *store) handleNewest(writer http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("dependsOn")
	store.mutex.Lock()
	records := store.topic(request.URL.Query().Get("topic")).records
	store.mutex.Unlock()
	newest := make(map[string]listedItem)
	for offset, record := range records {
		if len(record.value) == 0 {
			delete(newest, record.key)
			continue
		}
		newest[record.key] = listedItem{record.key, base64.StdEncoding.EncodeToString(record.value), offset}
	}
	items := []listedItem{}
	for key, item := range newest {
		if key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(one, other listedItem) int { return strings.Compare(one.Key, other.Key) })
	encoded, _ := json.Marshal(map[string]any{ // text and numbers always can be encoded
		"items": items[:min(len(items), pageRecords)], "hasMore": len(items) > pageRecords, "endOffset": len(records),
	})
	_, _ = writer.Write(encoded) // fails only if the node has disconnected
}
