// Package stutterer declares a fault of a proxy: answers that come twice, the second time
// late, as a copy or made anew.
package stutterer

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// Kind is the name of the fault in the proxy's interface.
const Kind = "stutter"

// Stutterer sends a share of the answers a second time on the same connection, where the
// receiver may have sent its next request meanwhile.
type Stutterer struct {
	// Share is the share of the answers that are repeated.
	Share float64 `json:"share"`
	// DelayMS is the longest time from an answer to its repetition, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// BeforeNext sends the repetition directly before the next answer on the connection, if
	// that comes within the delay. It then falls on the next request however short the time
	// to the answer of that is.
	BeforeNext bool `json:"before-next"`
	// MadeAnew gives the repetition the clock of its time, as that of a minion that answers the
	// same request again. Lists of runs are not repeated then.
	MadeAnew bool `json:"made-anew"`
}

// repetition is an answer that is sent again.
type repetition struct {
	answer []byte
	// madeAt is when the answer was sent first.
	madeAt time.Time
}

// repeat returns what is sent the second time.
func (stutterer *Stutterer) repeat(repeated *repetition) *stream.StreamChunk {
	answer := repeated.answer
	if stutterer.MadeAnew {
		answer = madeAnew(answer, time.Since(repeated.madeAt))
	}
	return &stream.StreamChunk{Data: answer, Timestamp: time.Now()}
}

// Pipe implements toxics.Toxic.
func (stutterer *Stutterer) Pipe(stub *toxics.ToxicStub) {
	var repeated repetition
	var repeatAt <-chan time.Time
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-repeatAt:
			if !send(stub, stutterer.repeat(&repeated)) {
				return
			}
			repeatAt = nil
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if repeatAt != nil && stutterer.BeforeNext {
				if !send(stub, stutterer.repeat(&repeated)) {
					return
				}
				repeatAt = nil
			}
			if repeatAt == nil && rand.Float64() < stutterer.Share && (!stutterer.MadeAnew || canBeMadeAnew(chunk.Data)) {
				repeated = repetition{bytes.Clone(chunk.Data), time.Now()}
				repeatAt = time.After(time.Duration(1+rand.Int64N(stutterer.DelayMS)) * time.Millisecond)
			}
			if !send(stub, chunk) {
				return
			}
		}
	}
}

// send reports whether a chunk was sent before the fault was interrupted. A fault behind it that
// has closed the connection does not receive any more.
func send(stub *toxics.ToxicStub, chunk *stream.StreamChunk) bool {
	select {
	case stub.Output <- chunk:
		return true
	default:
	}
	select {
	case stub.Output <- chunk:
		return true
	case <-stub.Interrupt:
		return false
	}
}

// Register makes the fault known to all proxies of the process.
func Register() { toxics.Register(Kind, new(Stutterer)) }
