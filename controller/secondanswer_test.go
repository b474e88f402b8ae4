package controller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// repeatingWorker refuses the first call and carries out the others. Each answer comes again, directly
// before the next one on its connection.
type repeatingWorker struct{ calls, carriedOut atomic.Int32 }

func (worker *repeatingWorker) listen(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go worker.serve(connection)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (worker *repeatingWorker) serve(connection net.Conn) {
	defer connection.Close() //nolint:errcheck // the client may have closed it
	reader, repeated := bufio.NewReader(connection), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		answer := worker.answer()
		if _, err := io.WriteString(connection, repeated+answer); err != nil {
			return
		}
		repeated = answer
	}
}

func (worker *repeatingWorker) answer() string {
	if worker.calls.Add(1) == 1 {
		return answerText("409 Conflict", fmt.Sprintf(`{"worker":"w","term":3,"code":%d,"message":"full"}`, classifier.NoCapacity))
	}
	worker.carriedOut.Add(1)
	return answerText("200 OK", `{"worker":"w","term":3,"mark":"2s","accelerators":8}`)
}

func answerText(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestSecondAnswerRefusesNoOtherCall guards against a call that counts as certainly not carried out by
// the second answer to another call on its connection, while the worker has carried it out.
func TestSecondAnswerRefusesNoOtherCall(t *testing.T) {
	c := quicktest.New(t)
	worker := &repeatingWorker{}
	address := worker.listen(t)
	ring, answers := run(t)
	call := messenger.CallWorker{Worker: "w", Address: address, Kind: messenger.ReserveTask, Term: 3, Accelerators: 1}
	c.Assert(ring.Offer(call), quicktest.IsNil)
	c.Assert((<-answers).Err.Code, quicktest.Equals, classifier.NoCapacity)
	call.Gang.Job = "other"
	c.Assert(ring.Offer(call), quicktest.IsNil)
	answered := <-answers
	c.Assert(worker.carriedOut.Load(), quicktest.Equals, int32(1))
	isRefused := answered.Err != nil && answered.Err.Code.Execution() == classifier.NotRun
	c.Assert(isRefused, quicktest.IsFalse, quicktest.Commentf("%v", answered.Err))
}
