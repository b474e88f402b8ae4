package main

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// byteSize is a flag for a number of bytes with a binary unit.
type byteSize int64

// byteUnits are the units with their binary logarithms, the largest first.
var byteUnits = []struct {
	name  string
	shift uint
}{{"GiB", 30}, {"MiB", 20}, {"KiB", 10}}

// maxByteSizeDigits keeps the product of a number and a unit within an int64.
const maxByteSizeDigits = 9

// Set implements flag.Value.
func (byteSize *byteSize) Set(text string) error {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 64)
		if err != nil || number == 0 || len(digits) > maxByteSizeDigits {
			return errors.Errorf("%q is not a positive whole number of %s", digits, unit.name)
		}
		*byteSize = byteSizeOf(number, unit.shift)
		return nil
	}
	return errors.New("the unit KiB, MiB or GiB is missing")
}

func byteSizeOf(number uint64, shift uint) byteSize { return byteSize(number << shift) }

// String implements flag.Value.
func (byteSize *byteSize) String() string {
	if byteSize == nil || *byteSize == 0 {
		return ""
	}
	for _, unit := range byteUnits {
		if rest := int64(*byteSize) >> unit.shift; rest<<unit.shift == int64(*byteSize) {
			return strconv.FormatInt(rest, 10) + unit.name
		}
	}
	return strconv.FormatInt(int64(*byteSize), 10)
}
