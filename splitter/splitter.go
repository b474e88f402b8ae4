// Package splitter splits JSON objects and arrays into their parts without decoding
// them, so that each part can be decoded, and refused, alone. Unlike encoding/json it
// splits a text whose parts are invalid or nested too deeply. It keeps no stack: the
// depth of a part costs no memory.
package splitter

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Members returns the values of an object by their keys. If a key is repeated, its
// last value holds, as in encoding/json. The values share the memory of the text.
func Members(text []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	splitter := splitter{text: text}
	err := splitter.split('{', '}', func() error {
		var key string
		if err := json.Unmarshal(splitter.part(), &key); err != nil {
			return errors.Wrapf(err, "key before byte %d", splitter.position)
		}
		if splitter.next() != ':' {
			return errors.Errorf("no value of %.40q at byte %d", key, splitter.position)
		}
		splitter.position++
		members[key] = splitter.part()
		return nil
	})
	return members, err
}

// Elements returns the elements of an array. They share the memory of the text.
func Elements(text []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	splitter := splitter{text: text}
	err := splitter.split('[', ']', func() error {
		element := splitter.part()
		if len(element) == 0 {
			return errors.Errorf("no element at byte %d", splitter.position)
		}
		elements = append(elements, element)
		return nil
	})
	return elements, err
}

// splitter reads a text from a position on.
type splitter struct {
	text     []byte
	position int
}

// split reads a bracketed list whose parts are separated by commas, and after which
// the text ends. It calls readPart at the start of each part.
func (splitter *splitter) split(open, end byte, readPart func() error) error {
	if splitter.next() != open {
		return errors.Errorf("no %q at byte %d", open, splitter.position)
	}
	splitter.position++
	for separator := splitter.next(); separator != end; separator = splitter.next() {
		if err := readPart(); err != nil {
			return err
		}
		switch splitter.next() {
		case end:
		case ',':
			splitter.position++
		default:
			return errors.Errorf("neither ',' nor %q at byte %d", end, splitter.position)
		}
	}
	splitter.position++
	if splitter.next(); splitter.position < len(splitter.text) {
		return errors.Errorf("unexpected text at byte %d", splitter.position)
	}
	return nil
}

// next skips spaces and returns the byte at the position, 0 at the end of the text.
func (splitter *splitter) next() byte {
	for ; splitter.position < len(splitter.text); splitter.position++ {
		if !isSpace(splitter.text[splitter.position]) {
			return splitter.text[splitter.position]
		}
	}
	return 0
}

// part returns the text up to the next comma, colon or closing bracket that belongs to
// no bracket or string of the part itself.
func (splitter *splitter) part() json.RawMessage {
	splitter.next()
	start, depth := splitter.position, 0
	for ; splitter.position < len(splitter.text); splitter.position++ {
		character := splitter.text[splitter.position]
		if depth == 0 && isDelimiter(character) {
			break
		}
		switch character {
		case '"':
			splitter.skipString()
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
	}
	splitter.position = min(splitter.position, len(splitter.text))
	return bytes.TrimRight(splitter.text[start:splitter.position], spaces)
}

// skipString moves from the first to the last quotation mark of a string.
func (splitter *splitter) skipString() {
	for splitter.position++; splitter.position < len(splitter.text) && splitter.text[splitter.position] != '"'; splitter.position++ {
		if splitter.text[splitter.position] == '\\' {
			splitter.position++
		}
	}
}

const spaces = " \t\n\r"

func isSpace(character byte) bool { return strings.IndexByte(spaces, character) >= 0 }

func isDelimiter(character byte) bool { return strings.IndexByte(",:]}", character) >= 0 }
