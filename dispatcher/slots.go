package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// maxSlotsAnswerBytes bounds a minion's answer to a query for its slots.
const maxSlotsAnswerBytes = 4 << 10

// querySlots queries a minion for its busy slots.
func (dispatcher *Dispatcher) querySlots(ctx context.Context, query messenger.QuerySlots) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, dispatcher.parameters.QueryTimeout)
	defer cancel()
	result := messenger.SlotsAnswered{Minion: query.Minion}
	target := url.URL{Scheme: "http", Host: query.Address.String(), Path: "/slots"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		result.Err = classifier.New(classifier.BadRequest, "the request could not be created: %v", err)
		return result
	}
	// An answer names no query. No other query follows on its connection, so that no second
	// answer to this one can be taken for that of the next.
	request.Close = true
	response, err := dispatcher.transport.RoundTrip(request)
	if err != nil {
		result.Err = classifier.New(classifier.MinionUnreachable, "the query for the minion's slots failed: %v", err)
		return result
	}
	defer response.Body.Close()
	if attempt := response.Header.Get(headerAttempt); attempt != "" {
		result.Err = classifier.New(classifier.CorruptAnswer, "the minion's answer to the query for its slots belongs to attempt %s of a request", attempt)
		return result
	}
	answer, err := decodeSlots(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		result.Err = classifier.New(classifier.CorruptAnswer, "the minion's answer to the query for its slots has status %d or invalid content", response.StatusCode)
		return result
	}
	result.Slots, result.Busy, result.Leaving = answer.Slots, answer.Busy, answer.Leaving
	return result
}

// slotsBody is a minion's answer to a query for its slots.
type slotsBody struct {
	Slots   int  `json:"slots"`
	Busy    int  `json:"busy"`
	Leaving bool `json:"leaving"`
}

// decodeSlots decodes an answer. The counts are bounded as the loads that nodes
// report, of which they become a part.
func decodeSlots(content io.Reader) (slotsBody, error) {
	var body slotsBody
	if err := json.NewDecoder(io.LimitReader(content, maxSlotsAnswerBytes)).Decode(&body); err != nil {
		return slotsBody{}, err
	}
	if body.Slots <= 0 || body.Slots > messenger.MaxReportedLoad || body.Busy < 0 || body.Busy > messenger.MaxReportedLoad {
		return slotsBody{}, errors.Errorf("%d busy slots of %d are out of range", body.Busy, body.Slots)
	}
	return body, nil
}
