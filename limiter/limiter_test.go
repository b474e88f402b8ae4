package limiter_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderroad/estimator"
	"corianderroad/limiter"
)

// checkBounds compares a limiter with its limits and the number of running requests.
func checkBounds(t *rapid.T, limited *limiter.Limiter, limits limiter.Limits, running int) {
	if limited.Running() != running || limited.Busy() > limits.Slots || running > limits.Connections {
		t.Fatalf("%d requests run, %d slots are busy, limits are %+v", running, limited.Busy(), limits)
	}
	if limited.Busy() < limits.Slots && running < limits.Connections && !limited.Admits(estimator.Short) {
		t.Fatal("a short request is refused although a slot is free")
	}
}

// TestLimiterKeepsBounds guards against a sequence of starts and ends after which
// requests or connections exceed their bounds or long requests occupy the
// reserved slots.
func TestLimiterKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := limiter.Limits{
			Slots:       rapid.IntRange(1, 16).Draw(t, "slots"),
			Connections: rapid.IntRange(1, 16).Draw(t, "connections"),
		}
		limits.LongSlots = rapid.IntRange(1, limits.Slots).Draw(t, "long")
		limited := limiter.New(limits)
		var running [estimator.ClassCount]int
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				class := estimator.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				if !limited.Admits(class) {
					return
				}
				limited.Occupy(class)
				running[class]++
				if class == estimator.Long && running[class]+limited.Foreign() > limits.LongSlots {
					t.Fatalf("%d long requests run", running[class])
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
				checkBounds(t, &limited, limits, running[estimator.Short]+running[estimator.Long])
			},
		})
	})
}
