package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// maxSlotsAnswer bounds the answer to a question for slots.
const maxSlotsAnswer = 4 << 10

// ask asks a minion for its busy slots.
func (dispatcher *Dispatcher) ask(ctx context.Context, asked messenger.QuerySlots) messenger.Event {
	ctx, cancel := context.WithTimeout(ctx, dispatcher.parameters.AskTimeout)
	defer cancel()
	answered := messenger.SlotsAnswered{Minion: asked.Minion}
	target := url.URL{Scheme: "http", Host: asked.Address.String(), Path: "/slots"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		answered.Err = classifier.New(classifier.BadRequest, "the request can't be formed: %v", err)
		return answered
	}
	response, err := dispatcher.transport.RoundTrip(request)
	if err != nil {
		answered.Err = classifier.New(classifier.MinionUnreachable, "the query for the slots failed: %v", err)
		return answered
	}
	defer response.Body.Close()
	var answer struct {
		Slots   int  `json:"slots"`
		Busy    int  `json:"busy"`
		Leaving bool `json:"leaving"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxSlotsAnswer)).Decode(&answer)
	if err != nil || response.StatusCode != http.StatusOK || answer.Slots <= 0 || answer.Busy < 0 {
		answered.Err = classifier.New(classifier.CorruptAnswer, "the minion's answer about its slots has status %d and can't be read", response.StatusCode)
		return answered
	}
	answered.Slots, answered.Busy, answered.Leaving = answer.Slots, answer.Busy, answer.Leaving
	return answered
}
