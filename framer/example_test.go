package framer_test

import (
	"bytes"
	"fmt"

	"corianderroad/framer"
)

func ExampleRead() {
	var wire bytes.Buffer
	if err := framer.Write(&wire, framer.Frame{Kind: framer.Query, Body: []byte("body")}); err != nil {
		fmt.Println(err)
	}
	fmt.Println(wire.Len() == framer.Overhead+len("body"))
	frame, err := framer.Read(&wire)
	fmt.Println(frame.Kind == framer.Query, string(frame.Body), err)
	// Output:
	// true
	// true body <nil>
}
