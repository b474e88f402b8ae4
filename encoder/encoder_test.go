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

// fill gives a value random contents. The types that msgpack encodes in
// another form have their own rules, all others follow their structure.
func fill(t *rapid.T, value reflect.Value) {
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
			fill(t, value.Field(index))
		}
	case reflect.Slice:
		if length := rapid.IntRange(0, 3).Draw(t, "length"); length > 0 {
			value.Set(reflect.MakeSlice(value.Type(), length, length))
		}
		for index := range value.Len() {
			fill(t, value.Index(index))
		}
	case reflect.Pointer:
		if rapid.Bool().Draw(t, "present") {
			value.Set(reflect.New(value.Type().Elem()))
			fill(t, value.Elem())
		}
	case reflect.Interface:
		// The records have their own test; any of them shows that batches are carried.
		record := reflect.New(reflect.TypeFor[messenger.Intent]()).Elem()
		fill(t, record)
		value.Set(record)
	default:
		fillScalar(t, value)
	}
}

// fillScalar gives a value without parts random contents.
func fillScalar(t *rapid.T, value reflect.Value) {
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
		t.Fatalf("no rule for %s", value.Type())
	}
}

// equal takes empty slices for absent ones, which msgpack does not tell apart
// where a field may be left out.
func equal(first, second any) bool {
	return reflect.DeepEqual(prune(reflect.ValueOf(first)).Interface(), prune(reflect.ValueOf(second)).Interface())
}

func prune(value reflect.Value) reflect.Value {
	pruned := reflect.New(value.Type()).Elem()
	pruned.Set(value)
	switch value.Interface().(type) {
	case netip.AddrPort, time.Time:
		return pruned
	}
	switch {
	case value.Kind() == reflect.Struct:
		for index := range value.NumField() {
			pruned.Field(index).Set(prune(value.Field(index)))
		}
	case value.Kind() == reflect.Slice && value.Len() == 0:
		pruned.SetZero()
	case value.Kind() == reflect.Slice:
		pruned.Set(reflect.MakeSlice(value.Type(), value.Len(), value.Len()))
		for index := range value.Len() {
			pruned.Index(index).Set(prune(value.Index(index)))
		}
	case value.Kind() == reflect.Pointer && !value.IsNil():
		pruned.Set(reflect.New(value.Type().Elem()))
		pruned.Elem().Set(prune(value.Elem()))
	}
	return pruned
}

// peers returns one message of each kind.
func peers() []messenger.Peer {
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

// TestPeerRoundTrip guards against a field of a message that is lost or mixed
// up on the wire.
func TestPeerRoundTrip(t *testing.T) {
	for _, kind := range peers() {
		t.Run(reflect.TypeOf(kind).Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				value := reflect.New(reflect.TypeOf(kind)).Elem()
				fill(t, value)
				message := value.Interface().(messenger.Peer)
				body, err := encoder.MarshalPeer(message)
				if err != nil {
					t.Fatalf("marshal: %v", err)
				}
				decoded, err := encoder.UnmarshalPeer(body)
				if err != nil || !equal(message, decoded) {
					t.Fatalf("got %+v, error %v, want %+v", decoded, err, message)
				}
				if _, err := encoder.UnmarshalPeer(append(body, 0)); classifier.CodeOf(err) != classifier.BadFrame {
					t.Fatalf("a longer body gives error %v", err)
				}
			})
		})
	}
}

// TestQueryRoundTrip guards against a row or field of a query or answer that is
// lost or mixed up on the wire.
func TestQueryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var query querier.Query
		var answer querier.Answer
		fill(t, reflect.ValueOf(&query).Elem())
		fill(t, reflect.ValueOf(&answer).Elem())
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
		if decoded, err := encoder.UnmarshalAnswer(body); err != nil || !equal(answer, decoded) {
			t.Fatalf("got %+v, error %v, want %+v", decoded, err, answer)
		}
	})
}

// TestPeerMessageHasOneField guards against a message of no or of two kinds.
func TestPeerMessageHasOneField(t *testing.T) {
	both := encoder.WirePeer{EntriesRequest: &encoder.WireEntriesRequest{}, OutcomeRequest: &encoder.WireOutcomeRequest{}}
	for _, wire := range []encoder.WirePeer{{}, both} {
		body, err := wire.MarshalMsg(nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = encoder.UnmarshalPeer(body)
		quicktest.Assert(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	}
}

// TestDeclaredSizeAllocatesNothing guards against a short body that makes a
// node allocate the array that it declares.
func TestDeclaredSizeAllocatesNothing(t *testing.T) {
	body := []byte("\x81\xa5probe\x81\xa7changes\xdd\x00\x10\x00\x00")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := encoder.UnmarshalPeer(body)
	runtime.ReadMemStats(&after)
	quicktest.Check(t, classifier.CodeOf(err), quicktest.Equals, classifier.BadFrame)
	quicktest.Check(t, after.TotalAlloc-before.TotalAlloc < 64<<10, quicktest.IsTrue)
}

// FuzzUnmarshal guards against bytes of a peer that end the process, and
// against a decoded message that can't be sent on.
func FuzzUnmarshal(f *testing.F) {
	for _, kind := range peers() {
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
