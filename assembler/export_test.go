package assembler

// The decoders of readings, for the tests.
var (
	DecodeJournal = decodeJournal
	DecodeClaims  = decodeClaims
)
