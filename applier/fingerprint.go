package applier

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fingerprint hashes the fields of one item of a state. The digest of a state is
// the sum of its items' hashes. The cost of updating it does not depend on the size
// of the state, and the order of the items does not matter.
type fingerprint struct{ hash *xxhash.Digest }

func newFingerprint(kind string) fingerprint {
	fingerprint := fingerprint{xxhash.New()}
	fingerprint.addText(kind)
	return fingerprint
}

// addText adds a text with its length, so that different sequences of texts do
// not concatenate to the same input.
func (fingerprint fingerprint) addText(text string) {
	fingerprint.addNumber(uint64(len(text)))
	_, _ = fingerprint.hash.WriteString(text)
}

func (fingerprint fingerprint) addNumber(number uint64) {
	var octets [8]byte
	binary.LittleEndian.PutUint64(octets[:], number)
	_, _ = fingerprint.hash.Write(octets[:])
}

func (fingerprint fingerprint) addFlag(flag bool) {
	number := uint64(0)
	if flag {
		number = 1
	}
	fingerprint.addNumber(number)
}

func (fingerprint fingerprint) addTime(at time.Time) {
	if at.IsZero() {
		fingerprint.addNumber(0)
		return
	}
	fingerprint.addNumber(uint64(at.UnixNano()))
}

func (fingerprint fingerprint) sum() uint64 { return fingerprint.hash.Sum64() }
