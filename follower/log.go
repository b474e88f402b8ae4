package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/watcher"
)

// Client sends HTTP requests. *http.Client is one.
type Client interface {
	Do(request *http.Request) (*http.Response, error)
}

// maxAnswerBytes bounds the memory of one read.
const maxAnswerBytes = 16 << 20

// smallAnswerBytes is the size of payloads below which twice as many of them fit
// into an answer, although it holds them in base64.
const smallAnswerBytes = maxAnswerBytes / 4

// goneError means that the append is no longer retained.
type goneError struct{ firstRetained, next uint64 }

func (gone goneError) Error() string {
	return fmt.Sprintf("log retains only appends from offset %d on", gone.firstRetained)
}

// tooLargeError means that the answer is too large, so that the next read must
// request fewer appends.
type tooLargeError struct{}

func (tooLargeError) Error() string {
	return fmt.Sprintf("answer of the log service exceeds %d bytes", maxAnswerBytes)
}

// log sends the reads of one stream to the log service.
type log struct {
	client  Client
	address netip.AddrPort
	stream  identifier.Stream
	// stallTimeout bounds the time without progress of a read.
	stallTimeout time.Duration
}

// read returns the appends from an offset on. If there is none, the log service
// waits for the first one, at most as long as wait. The duration of the answer is not
// bounded, because all nodes may read the same large appends over one link.
func (log log) read(ctx context.Context, from uint64, limit int, wait time.Duration) (encoder.ReadAnswer, error) {
	ctx, watched := watcher.New(ctx, log.stallTimeout)
	defer watched.Stop()
	url := fmt.Sprintf("http://%s/streams/%s/appends?from=%d&limit=%d&wait=%s", log.address, log.stream, from, limit, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return encoder.ReadAnswer{}, err
	}
	response, err := log.client.Do(request)
	if err != nil {
		return encoder.ReadAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(watched.Reader(response.Body), maxAnswerBytes+1))
	if err != nil {
		return encoder.ReadAnswer{}, err
	}
	if len(body) > maxAnswerBytes {
		return encoder.ReadAnswer{}, tooLargeError{}
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return encoder.ReadAnswer{}, classifier.New(classifier.LogUnavailable, "log service answered with status %d", response.StatusCode)
	}
	var answer encoder.ReadAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return encoder.ReadAnswer{}, classifier.New(classifier.LogUnavailable, "answer of the log service: %v", err)
	}
	if response.StatusCode == http.StatusGone {
		return encoder.ReadAnswer{}, goneError{answer.FirstRetained, answer.Next}
	}
	return answer, nil
}
