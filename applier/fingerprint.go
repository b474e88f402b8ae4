package applier

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fingerprint hashes the fields of one item of a state. The digest of a state is
// the sum of its items' hashes, so that a change of one item costs one hash
// whatever the size of the state, and the order of items does not matter.
type fingerprint struct{ hash *xxhash.Digest }

func newFingerprint(kind string) fingerprint {
	fingerprint := fingerprint{xxhash.New()}
	fingerprint.text(kind)
	return fingerprint
}

// text adds a text with its length, so that neighbouring texts can't run into
// each other.
func (fingerprint fingerprint) text(text string) {
	fingerprint.number(uint64(len(text)))
	_, _ = fingerprint.hash.WriteString(text)
}

func (fingerprint fingerprint) number(number uint64) {
	var octets [8]byte
	binary.LittleEndian.PutUint64(octets[:], number)
	_, _ = fingerprint.hash.Write(octets[:])
}

func (fingerprint fingerprint) flag(flag bool) {
	number := uint64(0)
	if flag {
		number = 1
	}
	fingerprint.number(number)
}

func (fingerprint fingerprint) time(at time.Time) {
	if at.IsZero() {
		fingerprint.number(0)
		return
	}
	fingerprint.number(uint64(at.UnixNano()))
}

func (fingerprint fingerprint) sum() uint64 { return fingerprint.hash.Sum64() }
