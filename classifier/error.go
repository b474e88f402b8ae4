package classifier

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a result code. It is immutable.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is a hint when a repetition may succeed, zero for none.
	RetryAfter time.Duration
	// MayHaveRun says that the work may have been done although the code alone
	// says that it was not: the request repeats one whose fate is not known.
	MayHaveRun bool
}

// New returns an Error with a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error with its code, which is Internal if it has none. It
// returns nil for nil.
func Wrap(err error) *Error {
	if err == nil {
		return nil
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return New(Internal, "%s", err.Error())
}

// WithRetryAfter returns a copy of the error with a hint.
func (err *Error) WithRetryAfter(hint time.Duration) *Error {
	hinted := *err
	hinted.RetryAfter = hint
	return &hinted
}

// Error returns the code's number, name and message.
func (err *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", err.Code, err.Code.Name(), err.Message)
}

// ExecutionOf returns what an error says about the request, Ran for nil.
func ExecutionOf(err error) Execution {
	var coded *Error
	if errors.As(err, &coded) && coded.MayHaveRun {
		return Unknown
	}
	return CodeOf(err).Execution()
}

// CodeOf returns the code of the first Error in err's chain, OK for nil and
// Internal for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}
