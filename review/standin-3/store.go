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

// store is the platform's store: a log with keyed topics of one partition each. It keeps its
// whole history.
type store struct {
	mutex   sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records   []record
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

// producer is the state of a producer's epoch: the next sequence number and the answers to
// the last appends.
type producer struct {
	epoch, next uint64
	answers     map[uint64]appendAnswer
}

type appendAnswer struct {
	Offset    int    `json:"offset"`
	EndOffset int    `json:"endOffset"`
	Reason    string `json:"reason,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
}

// pageSize is the largest number of records in a page of a listing.
const pageSize = 500

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (store *store) topic(name string) *topic {
	if store.topics[name] == nil {
		store.topics[name] = &topic{producers: make(map[string]*producer)}
	}
	return store.topics[name]
}

// write appends a record as the operator or a minion does. A nil value deletes the key.
func (store *store) write(name, key string, value any) {
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value) // the values are plain data
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(store.topic(name), record{key, encoded})
}

func (store *store) add(topic *topic, records ...record) {
	topic.records = append(topic.records, records...)
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/api/log-append":
		store.append(writer, request, body)
	case "/api/log-read":
		store.read(writer, request)
	case "/api/log-newest":
		store.list(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) append(writer http.ResponseWriter, request *http.Request, body []byte) {
	time.Sleep(4 * time.Millisecond)
	records, ok := decodeRecords(body)
	if !ok {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	query := request.URL.Query()
	topic := store.topic(query.Get("topic"))
	if at := query.Get("at"); at != "" {
		if at != strconv.Itoa(len(topic.records)) {
			answer(writer, http.StatusPreconditionFailed, appendAnswer{EndOffset: len(topic.records)})
			return
		}
	}
	done := appendAnswer{Offset: len(topic.records), EndOffset: len(topic.records) + len(records)}
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
		status, known := topic.admit(name, epoch, sequence, len(records) == 0, done)
		if status != http.StatusOK || known != nil {
			answer(writer, status, known)
			return
		}
	}
	store.add(topic, records...)
	answer(writer, http.StatusOK, done)
}

// admit checks the epoch and the sequence number of an append. It returns the answer if the
// append is refused or was done before.
func (topic *topic) admit(name string, epoch, sequence uint64, isEmpty bool, done appendAnswer) (int, *appendAnswer) {
	known := topic.producers[name]
	if known == nil {
		known = &producer{}
		topic.producers[name] = known
	}
	if epoch < known.epoch {
		return http.StatusConflict, &appendAnswer{Reason: "fenced"}
	}
	if epoch > known.epoch || known.answers == nil {
		*known = producer{epoch: epoch, next: sequence, answers: make(map[uint64]appendAnswer)}
	}
	if isEmpty {
		return http.StatusOK, &appendAnswer{Offset: done.Offset, EndOffset: done.Offset}
	}
	if earlier, isRepeat := known.answers[sequence]; isRepeat {
		return http.StatusOK, &earlier
	}
	if sequence != known.next {
		return http.StatusConflict, &appendAnswer{Reason: "seq", Sequence: known.next}
	}
	known.answers[sequence] = done
	delete(known.answers, sequence-5)
	known.next++
	return http.StatusOK, nil
}

func decodeRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || len(body) < 4+length {
			return nil, false
		}
		content := body[4 : 4+length]
		start := 1 + int(content[0])
		if start > len(content) {
			return nil, false
		}
		records = append(records, record{string(content[1:start]), slices.Clone(content[start:])})
		body = body[4+length:]
	}
	return records, true
}

func (store *store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for isLast := wait == 0; ; {
		store.mutex.Lock()
		records, changed := store.topic(query.Get("topic")).records, store.changed
		store.mutex.Unlock()
		if from < len(records) || isLast {
			_, _ = writer.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isLast = true
		case <-request.Context().Done():
			return
		}
	}
}

func encodeRead(records []record, from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(append(body, record.key...), record.value...)
	}
	return body
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	records := store.topic(request.URL.Query().Get("topic")).records
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	var keys []string
	for key := range newest {
		if key > request.URL.Query().Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int    `json:"endOffset"`
	}{[]item{}, len(keys) > pageSize, len(records)}
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(records[newest[key]].value), newest[key]})
	}
	answer(writer, http.StatusOK, page)
}

// answer writes an answer in JSON.
func answer(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode an answer: %v", err))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded) // fails only if the node has disconnected
}
