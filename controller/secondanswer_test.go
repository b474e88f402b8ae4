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

// repeatingWorker refuses the first call on a connection and carries out the others. The answer to
// the first call comes again, directly before that to the second one.
type repeatingWorker struct{ carriedOut atomic.Int32 }

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
	reader := bufio.NewReader(connection)
	refusal := answerText("409 Conflict", fmt.Sprintf(`{"worker":"w","term":3,"code":%d,"message":"full"}`, classifier.NoCapacity))
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		answer := refusal
		if number > 1 {
			worker.carriedOut.Add(1)
			answer = answerText("200 OK", `{"worker":"w","term":3,"mark":"2s","accelerators":8}`)
		}
		if number == 2 {
			answer = refusal + answer
		}
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
	}
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
