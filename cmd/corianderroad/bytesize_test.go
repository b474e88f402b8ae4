package main

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestByteSize guards against a limit that is read with another unit, or that overflows.
func TestByteSize(t *testing.T) {
	c := quicktest.New(t)
	for text, expected := range map[string]byteSize{"24MiB": 24 << 20, "1GiB": 1 << 30, "1536KiB": 1536 << 10, "2048MiB": 2 << 30} {
		var size, again byteSize
		c.Assert(size.Set(text), quicktest.IsNil)
		c.Assert(size, quicktest.Equals, expected)
		c.Assert(again.Set(size.String()), quicktest.IsNil)
		c.Assert(again, quicktest.Equals, size)
	}
	for _, text := range []string{"", "24", "24MB", "MiB", "0MiB", "-1MiB", "1.5MiB", "24 MiB", "9999999999GiB"} {
		size := byteSize(7)
		c.Assert(size.Set(text), quicktest.IsNotNil, quicktest.Commentf("%q", text))
		c.Assert(size, quicktest.Equals, byteSize(7))
	}
}
