package tailer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/tailer"
)

// TestRefreshAfterAFasterPaceReadsAtOnce guards against a node that has claimed and waits for
// the end of a long pause before it reads what former holders have recorded.
func TestRefreshAfterAFasterPaceReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		log, sink := &fakeLog{}, &fakeSink{values: make(map[string]string)}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second, Pace: time.Minute, RefreshPace: time.Minute}, log, sink, time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		log.add("a", "1")
		group.Go(func() { _ = topicTailer.Run(ctx) })
		time.Sleep(time.Second)
		log.add("a", "2")
		topicTailer.SetPace(0)
		c.Assert(topicTailer.Refresh(), quicktest.IsTrue)
		time.Sleep(time.Millisecond)
		value, _, _, _ := sink.state("a")
		c.Assert(value, quicktest.Equals, "2")
	})
}

// TestRefreshShortensThePause guards against callers who learn of a change only after a long
// pause, and against callers whose many requests exceed the calls that the store allows.
func TestRefreshShortensThePause(t *testing.T) {
	const pace, refreshPace = 600 * time.Millisecond, 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		log, sink := &fakeLog{}, &fakeSink{values: make(map[string]string)}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second, Pace: pace, RefreshPace: refreshPace}, log, sink, time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { _ = topicTailer.Run(ctx) })
		readsIn := func(span time.Duration, refresh bool) int {
			_, before := log.counts()
			for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				log.add("a", fmt.Sprint(time.Now().UnixNano()))
				if refresh {
					topicTailer.Refresh()
				}
			}
			_, after := log.counts()
			return after - before
		}
		time.Sleep(2 * time.Second)
		c.Assert(topicTailer.Refresh(), quicktest.IsFalse) // a read waits for the first record
		unrefreshed, refreshed := readsIn(6*time.Second, false), readsIn(6*time.Second, true)
		c.Assert(unrefreshed >= 9 && unrefreshed <= 11, quicktest.IsTrue, quicktest.Commentf("%d reads in 6 s", unrefreshed))
		c.Assert(refreshed >= 35 && refreshed <= 41, quicktest.IsTrue, quicktest.Commentf("%d reads in 6 s", refreshed))
	})
}
