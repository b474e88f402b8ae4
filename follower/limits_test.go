package follower_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/encoder"
	"corianderroad/follower"
)

// TestAnswerWithoutItsAppendsIsFailure guards against reads that repeat without a
// pause, because the log service names a later end but returns no appends.
func TestAnswerWithoutItsAppendsIsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		reads := 0
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Millisecond) // virtual time
			reads++
			_ = json.NewEncoder(writer).Encode(encoder.ReadAnswer{FirstRetained: 1, Next: 9})
		})
		harness := run(inProcessClient{handler}, anyAddress, follower.Parameters{})
		time.Sleep(10 * time.Second)
		harness.stop()
		c.Assert(reads < 50, quicktest.IsTrue, quicktest.Commentf("%d reads in 10 s", reads))
	})
}
