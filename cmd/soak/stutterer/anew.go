package stutterer

import (
	"bytes"
	"regexp"
	"strconv"
	"time"
)

// clockField is the minion's clock in an answer.
var clockField = regexp.MustCompile(`"clockMs":(\d+)`)

// slowestRate is below the rate of the slowest clock of a minion, so that no answer shows a
// clock that its minion has not reached.
const slowestRate = 0.97

// canBeMadeAnew reports whether an answer can be made anew by its clock alone. A list of runs changes
// with time.
func canBeMadeAnew(answer []byte) bool {
	return clockField.Match(answer) && !bytes.Contains(answer, []byte(`"running"`))
}

// madeAnew returns an answer as the minion would make it again after the given time, nil if it would have
// another length.
func madeAnew(answer []byte, elapsed time.Duration) []byte {
	at := clockField.FindSubmatchIndex(answer)
	clock, err := strconv.ParseInt(string(answer[at[2]:at[3]]), 10, 64)
	if err != nil {
		return nil
	}
	later := strconv.AppendInt(nil, clock+int64(slowestRate*float64(elapsed.Milliseconds())), 10)
	if len(later) != at[3]-at[2] {
		return nil
	}
	renewed := bytes.Clone(answer)
	copy(renewed[at[2]:at[3]], later)
	return renewed
}
