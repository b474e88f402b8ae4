package dispatcher

import "bytes"

// DecodeSlots returns the counts in a minion's answer, for the fuzz target.
func DecodeSlots(content []byte) (slots, busy int, err error) {
	body, err := decodeSlots(bytes.NewReader(content))
	return body.Slots, body.Busy, err
}
