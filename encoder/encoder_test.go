package encoder_test

import (
	"net/netip"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// setRandom sets a value to random contents. Types that are encoded in a form of
// their own have separate cases; all others are filled by their structure.
func setRandom(t *rapid.T, value reflect.Value) {
	switch value.Interface().(type) {
	case netip.AddrPort:
		octets := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address")
		address, _ := netip.AddrFromSlice(octets[:4+12*rapid.IntRange(0, 1).Draw(t, "version")])
		value.Set(reflect.ValueOf(netip.AddrPortFrom(address, rapid.Uint16().Draw(t, "port"))))
		return
	case time.Time:
		at := time.Unix(rapid.Int64Range(-1<<40, 1<<40).Draw(t, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(t, "nanoseconds"))
		value.Set(reflect.ValueOf(at.UTC()))
		return
	case messenger.MemberState:
		value.SetUint(uint64(rapid.Uint8Range(uint8(messenger.Alive), uint8(messenger.Dead)).Draw(t, "state")))
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			setRandom(t, value.Field(index))
		}
	case reflect.Slice:
		if length := rapid.IntRange(0, 3).Draw(t, "length"); length > 0 {
			value.Set(reflect.MakeSlice(value.Type(), length, length))
		}
		for index := range value.Len() {
			setRandom(t, value.Index(index))
		}
	case reflect.Pointer:
		if rapid.Bool().Draw(t, "present") {
			value.Set(reflect.New(value.Type().Elem()))
			setRandom(t, value.Elem())
		}
	case reflect.Interface:
		// TestBatchRoundTrip covers all records; one kind is enough to show that a
		// message transports batches.
		record := reflect.New(reflect.TypeFor[messenger.Intent]()).Elem()
		setRandom(t, record)
		value.Set(record)
	default:
		setRandomScalar(t, value)
	}
}

// setRandomScalar sets a value of a scalar type to random contents.
func setRandomScalar(t *rapid.T, value reflect.Value) {
	switch value.Kind() {
	case reflect.String:
		value.SetString(rapid.String().Draw(t, "text"))
	case reflect.Bool:
		value.SetBool(rapid.Bool().Draw(t, "flag"))
	case reflect.Float64:
		value.SetFloat(rapid.Float64().Draw(t, "float"))
	case reflect.Int, reflect.Int64:
		value.SetInt(rapid.Int64().Draw(t, "integer"))
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(rapid.Uint64().Draw(t, "integer") >> (64 - value.Type().Bits()))
	default:
		t.Fatalf("no random value for type %s", value.Type())
	}
}

// equalExceptEmpty reports whether two values are equal, where an empty slice equals
// a nil slice: msgpack encodes both alike in a field that may be omitted.
func equalExceptEmpty(first, second any) bool {
	return reflect.DeepEqual(normalize(reflect.ValueOf(first)).Interface(), normalize(reflect.ValueOf(second)).Interface())
}

// normalize returns a copy in which empty slices are nil.
func normalize(value reflect.Value) reflect.Value {
	normalized := reflect.New(value.Type()).Elem()
	normalized.Set(value)
	switch value.Interface().(type) {
	case netip.AddrPort, time.Time:
		return normalized
	}
	switch {
	case value.Kind() == reflect.Struct:
		for index := range value.NumField() {
			normalized.Field(index).Set(normalize(value.Field(index)))
		}
	case value.Kind() == reflect.Slice && value.Len() == 0:
		normalized.SetZero()
	case value.Kind() == reflect.Slice:
		normalized.Set(reflect.MakeSlice(value.Type(), value.Len(), value.Len()))
		for index := range value.Len() {
			normalized.Index(index).Set(normalize(value.Index(index)))
		}
	case value.Kind() == reflect.Pointer && !value.IsNil():
		normalized.Set(reflect.New(value.Type().Elem()))
		normalized.Elem().Set(normalize(value.Elem()))
	}
	return normalized
}

// limitLoads changes the random loads in a value to be within the bounds that the
// decoder checks.
func limitLoads(value reflect.Value) {
	switch value.Kind() {
	case reflect.Slice:
		for index := range value.Len() {
			limitLoads(value.Index(index))
		}
	case reflect.Struct:
		for index := range value.NumField() {
			field := value.Field(index)
			switch value.Type().Field(index).Name {
			case "Queued", "FreeSlots":
				field.SetInt(int64(uint64(field.Int()) % messenger.MaxReportedLoad))
			default:
				limitLoads(field)
			}
		}
	}
}

// zeroPeers returns the zero value of each kind of peer message.
func zeroPeers() []messenger.Peer {
	return []messenger.Peer{
		messenger.Probe{},
		messenger.ProbeAnswer{},
		messenger.ProbeRequest{},
		messenger.ProbeReport{},
		messenger.EntriesRequest{},
		messenger.Forward{},
		messenger.ForwardAnswer{},
		messenger.ForwardCancel{},
		messenger.OutcomeRequest{},
		messenger.OutcomeResponse{},
	}
}

// TestPeerRoundTrip guards against a field of a message that the encoding loses or
// confuses with another.
func TestPeerRoundTrip(t *testing.T) {
	for _, kind := range zeroPeers() {
		t.Run(reflect.TypeOf(kind).Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				value := reflect.New(reflect.TypeOf(kind)).Elem()
				setRandom(t, value)
				limitLoads(value)
				message := value.Interface().(messenger.Peer)
				body, err := encoder.MarshalPeer(message)
				if err != nil {
					t.Fatalf("marshal: %v", err)
				}
				decoded, err := encoder.UnmarshalPeer(body)
				if err != nil || !equalExceptEmpty(message, decoded) {
					t.Fatalf("got %+v, error %v, want %+v", decoded, err, message)
				}
				if _, err := encoder.UnmarshalPeer(append(body, 0)); classifier.CodeOf(err) != classifier.BadFrame {
					t.Fatalf("body with a trailing byte: got error %v, want BadFrame", err)
				}
			})
		})
	}
}

// TestQueryRoundTrip guards against a row or field of a query or answer that the
// encoding loses or confuses with another.
func TestQueryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var query querier.Query
		var answer querier.Answer
		setRandom(t, reflect.ValueOf(&query).Elem())
		setRandom(t, reflect.ValueOf(&answer).Elem())
		body, err := encoder.MarshalQuery(query)
		if err != nil {
			t.Fatalf("marshal: %v", err)
		}
		if decoded, err := encoder.UnmarshalQuery(body); err != nil || decoded != query {
			t.Fatalf("got %+v, error %v, want %+v", decoded, err, query)
		}
		body, err = encoder.MarshalAnswer(answer)
		if err != nil {
			t.Fatalf("marshal: %v", err)
		}
		if decoded, err := encoder.UnmarshalAnswer(body); err != nil || !equalExceptEmpty(answer, decoded) {
			t.Fatalf("got %+v, error %v, want %+v", decoded, err, answer)
		}
	})
}

// TestPeerMessageHasOneField guards against accepting a message of no kind or of two
// kinds.
func TestPeerMessageHasOneField(t *testing.T) {
	both := encoder.WirePeer{EntriesRequest: &encoder.WireEntriesRequest{}, OutcomeRequest: &encoder.WireOutcomeRequest{}}
	for _, wire := range []encoder.WirePeer{{}, both} {
		body, err := wire.MarshalMsg(nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = encoder.UnmarshalPeer(body)
		quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	}
}

// TestDeclaredSizeAllocatesNothing guards against a short body that declares a huge
// array and makes a node allocate it.
func TestDeclaredSizeAllocatesNothing(t *testing.T) {
	body := []byte("\x81\xa5probe\x81\xa7changes\xdd\x00\x10\x00\x00")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := encoder.UnmarshalPeer(body)
	runtime.ReadMemStats(&after)
	quicktest.Check(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	quicktest.Check(t, after.TotalAlloc-before.TotalAlloc < 64<<10, quicktest.IsTrue)
}

// FuzzUnmarshal guards against bytes from a peer that make the decoder panic, and
// against a decoded message that can't be encoded again.
func FuzzUnmarshal(f *testing.F) {
	for _, kind := range zeroPeers() {
		body, err := encoder.MarshalPeer(kind)
		quicktest.Assert(f, err, quicktest.IsNil)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if message, err := encoder.UnmarshalPeer(body); err == nil {
			_, err = encoder.MarshalPeer(message)
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		_, _ = encoder.UnmarshalQuery(body)
		_, _ = encoder.UnmarshalAnswer(body)
	})
}
