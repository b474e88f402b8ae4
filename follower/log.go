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
)

// Client sends HTTP requests. *http.Client is one.
type Client interface {
	Do(request *http.Request) (*http.Response, error)
}

// maxAnswer bounds the memory of one read.
const maxAnswer = 16 << 20

// goneError says that the append is no longer retained.
type goneError struct{ firstRetained, next uint64 }

func (gone goneError) Error() string {
	return fmt.Sprintf("the log retains appends from offset %d on", gone.firstRetained)
}

// tooLargeError says that fewer appends must be asked for.
type tooLargeError struct{}

func (tooLargeError) Error() string { return fmt.Sprintf("the answer is above %d bytes", maxAnswer) }

// log is the log service as seen from one stream.
type log struct {
	client  Client
	address netip.AddrPort
	stream  identifier.Stream
}

// read returns appends from an offset on and waits for the first one.
func (log log) read(ctx context.Context, from uint64, limit int, wait time.Duration) (encoder.ReadAnswer, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return encoder.ReadAnswer{}, err
	}
	if len(body) > maxAnswer {
		return encoder.ReadAnswer{}, tooLargeError{}
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return encoder.ReadAnswer{}, classifier.New(classifier.LogUnavailable, "the log answered with status %d", response.StatusCode)
	}
	var answer encoder.ReadAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return encoder.ReadAnswer{}, classifier.New(classifier.LogUnavailable, "the log's answer: %v", err)
	}
	if response.StatusCode == http.StatusGone {
		return encoder.ReadAnswer{}, goneError{answer.FirstRetained, answer.Next}
	}
	return answer, nil
}
