package limiter_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderroad/estimator"
	"corianderroad/limiter"
)

// check compares a limiter with its limits and the number of open requests.
func check(t *rapid.T, limited *limiter.Limiter, limits limiter.Limits, open int) {
	if limited.Open() != open || limited.Busy() > limits.Slots || open > limits.Connections {
		t.Fatalf("%d open, %d busy of %+v", open, limited.Busy(), limits)
	}
	if limited.Busy() < limits.Slots && open < limits.Connections && !limited.Admits(estimator.Short) {
		t.Fatal("a free slot admits no short request")
	}
}

// TestBounds guards against a sequence of starts and ends by which requests or
// connections exceed their bounds or long requests take the reserved slots.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{
			Slots:       rapid.IntRange(1, 16).Draw(t, "slots"),
			Connections: rapid.IntRange(1, 16).Draw(t, "connections"),
		}
		limits.LongSlots = rapid.IntRange(1, limits.Slots).Draw(t, "long")
		limited := limiter.New(limits)
		var running [estimator.Classes]int
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				class := estimator.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				if !limited.Admits(class) {
					return
				}
				limited.Take(class)
				running[class]++
				if class == estimator.Long && running[class]+limited.Foreign() > limits.LongSlots {
					t.Fatalf("%d long requests started", running[class])
				}
			},
			"release": func(t *rapid.T) {
				class := estimator.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				if running[class] == 0 {
					return
				}
				running[class]--
				if rapid.Bool().Draw(t, "stray") {
					limited.MarkForeign(class)
				} else {
					limited.Release(class)
				}
			},
			"reclassify": func(*rapid.T) {
				if running[estimator.Short] > 0 {
					running[estimator.Short]--
					running[estimator.Long]++
					limited.Reclassify()
				}
			},
			"learn": func(t *rapid.T) {
				limited.SetForeign(rapid.IntRange(0, limited.Foreign()).Draw(t, "foreign"))
			},
			"": func(t *rapid.T) {
				check(t, &limited, limits, running[estimator.Short]+running[estimator.Long])
			},
		})
	})
}
