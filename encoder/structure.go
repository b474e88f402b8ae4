package encoder

import (
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// maxNesting is the number of levels of arrays and maps in a message. The schemas
// need 7; the rest is for fields that later versions add.
const maxNesting = 16

// unmarshal decodes a body that must hold exactly one value. It checks the structure
// of the whole body first, because the generated methods allocate arrays of the
// declared length before they read the elements.
func unmarshal(body []byte, wire msgp.Unmarshaler) error {
	rest, err := skipValue(body, maxNesting)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errors.Errorf("%d bytes follow the value", len(rest))
	}
	_, err = wire.UnmarshalMsg(body)
	return err
}

// skipValue returns the bytes after the first value of a body. It refuses a value
// that is truncated or has more than the given number of levels.
func skipValue(body []byte, levels int) ([]byte, error) {
	count, rest, err := readElementCount(body)
	if err != nil || count == 0 {
		return rest, err
	}
	if levels == 0 {
		return nil, errors.Errorf("values are nested in more than %d levels", maxNesting)
	}
	if count > uint64(len(rest)) {
		return nil, errors.Errorf("%d elements are declared in %d bytes", count, len(rest))
	}
	for range count {
		if rest, err = skipValue(rest, levels-1); err != nil {
			return nil, err
		}
	}
	return rest, nil
}

// readElementCount returns the number of values that an array or a map contains and
// the bytes after its header. For any other value it returns zero and the bytes after
// the value.
func readElementCount(body []byte) (uint64, []byte, error) {
	switch msgp.NextType(body) {
	case msgp.ArrayType:
		length, rest, err := msgp.ReadArrayHeaderBytes(body)
		return uint64(length), rest, err
	case msgp.MapType:
		length, rest, err := msgp.ReadMapHeaderBytes(body)
		return 2 * uint64(length), rest, err
	default:
		rest, err := msgp.Skip(body)
		return 0, rest, err
	}
}
