package logserver

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestLogInvariants guards against offsets with gaps, times that go back,
// appends dropped too early or retained too long, and a rate above the limit.
func TestLogInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			AppendsPerSecond: float64(rapid.IntRange(1, 100).Draw(t, "rate")),
			Retention:        time.Duration(rapid.IntRange(1, 60).Draw(t, "retention")) * time.Second,
			RetainedAppends:  rapid.IntRange(1, 20).Draw(t, "retained"),
		}
		log := NewLog(limits, 1)
		now, newest := epoch, time.Time{}
		var model []Append
		// advance models the log's clock, which never decreases.
		advance := func() time.Time {
			if now.After(newest) {
				newest = now
			}
			return newest
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				// The system clock may go back by a second.
				now = now.Add(time.Duration(rapid.IntRange(-1, 10).Draw(t, "seconds")) * time.Second)
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
				offset, accepted := log.Append(now, identifier.Jobs, id, []byte(id))
				if !accepted {
					return
				}
				model = append(model, Append{Offset: offset, ID: id, Payload: []byte(id), AppendedAt: advance()})
				if offset != identifier.Offset(len(model)) {
					t.Fatalf("append %d got offset %d", len(model), offset)
				}
			},
			"read": func(t *rapid.T) {
				from := identifier.Offset(rapid.IntRange(1, len(model)+2).Draw(t, "from"))
				limit := rapid.IntRange(1, 5).Draw(t, "limit")
				page, appended, retained := log.Read(now, identifier.Jobs, from, limit)
				checkRead(t, model, limits, advance(), from, limit, page, retained)
				if blocks := appended != nil; blocks != (retained && from >= page.Next) {
					t.Fatalf("read from %d with next %d blocks: %v", from, page.Next, blocks)
				}
			},
		})
	})
}

func checkRead(t *rapid.T, model []Append, limits Limits, now time.Time, from identifier.Offset, limit int, page Page, retained bool) {
	if page.Next != identifier.Offset(len(model)+1) {
		t.Fatalf("next is %d after %d appends", page.Next, len(model))
	}
	for index, appended := range model {
		old := len(model)-index > limits.RetainedAppends || now.Sub(appended.AppendedAt) > limits.Retention
		if dropped := appended.Offset < page.FirstRetained; dropped && !old {
			t.Fatalf("offset %d was dropped too early", appended.Offset)
		} else if old && !dropped {
			t.Fatalf("offset %d is retained beyond the limit", appended.Offset)
		}
	}
	if retained != (from >= page.FirstRetained) {
		t.Fatalf("read from %d with first retained %d: retained %v", from, page.FirstRetained, retained)
	}
	if !retained {
		return
	}
	want := model[min(int(from)-1, len(model)):]
	want = want[:min(limit, len(want))]
	if len(page.Appends) != len(want) {
		t.Fatalf("read %d appends, want %d", len(page.Appends), len(want))
	}
	for index, got := range page.Appends {
		if got.Offset != want[index].Offset || got.ID != want[index].ID || !got.AppendedAt.Equal(want[index].AppendedAt) {
			t.Fatalf("read %+v, want %+v", got, want[index])
		}
	}
}

// TestLogLimitsAppendRate guards against a log that accepts appends above its
// rate limit: clients that append too often would then not be detected.
func TestLogLimitsAppendRate(t *testing.T) {
	log := NewLog(Limits{AppendsPerSecond: 400, Retention: time.Hour, RetainedAppends: 10_000}, 1)
	accepted := 0
	for millisecond := range 5000 {
		now := epoch.Add(time.Duration(millisecond) * time.Millisecond)
		for range 2 {
			if _, ok := log.Append(now, identifier.Intents, "a", nil); ok {
				accepted++
			}
		}
	}
	if accepted < 5*400 || accepted > 5*400+40 {
		t.Fatalf("%d appends were accepted in 5 s at 400 per second with a burst of 40", accepted)
	}
}
