package assembler

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/throttler"
)

// TestAnswerToSilentCallerEnds guards against an answer that occupies a connection
// and its handler for ever because the caller reads nothing.
func TestAnswerToSilentCallerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var ended time.Time
		keeper := newTestGatekeeper()
		server := newServer(netip.AddrPort{}, keeper, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write(make([]byte, 1<<20))
			ended = time.Now()
		}))
		link := throttler.New(1 << 30)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = keeper.Run(ctx) })
		group.Go(func() { _ = server.serve(ctx, link) })
		caller, err := link.Dial(ctx, netip.AddrPort{})
		c.Assert(err, quicktest.IsNil)
		started := time.Now()
		_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: node\r\n\r\n"))
		c.Assert(err, quicktest.IsNil)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		took := ended.Sub(started)
		_ = caller.Close()
		cancel()
		group.Wait()
		c.Assert(took > 0 && took < time.Minute, quicktest.IsTrue, quicktest.Commentf("the handler ended after %v", took))
	})
}
