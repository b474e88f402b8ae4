package appender_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"corianderroad/appender"
	"corianderroad/buffer"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// repeatingService is a log service on a socket. The answer to the first append comes again, directly
// before that to the second one, which it refuses for a moment.
type repeatingService struct {
	mutex sync.Mutex
	posts int
	ids   []string
}

func (service *repeatingService) serve(connection net.Conn) {
	defer connection.Close() //nolint:errcheck // the client may have closed it
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := fmt.Fprint(connection, service.answer(request)); err != nil {
			return
		}
	}
}

func (service *repeatingService) answer(request *http.Request) string {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	var body encoder.AppendRequest
	_ = json.NewDecoder(request.Body).Decode(&body)
	if request.Method == http.MethodGet {
		return answerText("200 OK", fmt.Sprintf(`{"first-retained":1,"next":%d}`, len(service.ids)+1))
	}
	service.posts++
	first := answerText("200 OK", `{"offset":1}`)
	if service.posts == 2 {
		return first + answerText("429 Too Many Requests", "{}")
	}
	service.ids = append(service.ids, body.ID)
	return answerText("200 OK", fmt.Sprintf(`{"offset":%d}`, len(service.ids)))
}

func (service *repeatingService) stored() int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return len(service.ids)
}

func answerText(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestSecondAnswerAcknowledgesNoOtherAppend guards against a record that is neither in the log nor reported as
// failed, because the second answer to the append before on its connection counts as its own.
func TestSecondAnswerAcknowledgesNoOtherAppend(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	service := &repeatingService{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go service.serve(connection)
		}
	}()
	ring := buffer.New[messenger.AppendRecord]("appends", 4)
	address := netip.MustParseAddrPort(listener.Addr().String())
	tested := appender.New(identifier.Configuration, address, &http.Client{}, &sink{failed: map[string][]messenger.AppendFailed{}}, ring, rate.NewLimiter(rate.Inf, 1), appender.Parameters{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = tested.Run(ctx) })
	defer group.Wait()
	defer cancel()
	for _, record := range records(2, 5*time.Second) {
		c.Assert(ring.Offer(record), quicktest.IsNil)
	}
	deadline := time.Now().Add(3 * time.Second)
	for count := uint64(0); count < 2 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		count, _, _ = tested.Counts()
	}
	appended, _, failed := tested.Counts()
	c.Assert(service.stored(), quicktest.Equals, 2, quicktest.Commentf("%d records count as appended, %d as failed", appended, failed))
}
