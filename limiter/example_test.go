package limiter_test

import (
	"fmt"

	"corianderroad/estimator"
	"corianderroad/limiter"
)

// Long requests can't occupy the slots that are reserved for short ones.
func Example() {
	limited := limiter.New(limiter.Limits{Slots: 3, LongSlots: 1, Connections: 3})
	limited.Occupy(estimator.Long)
	fmt.Println(limited.Admits(estimator.Long), limited.Admits(estimator.Short))
	// Output: false true
}
