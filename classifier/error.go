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
	// RetryAfter is the delay after which a retry may succeed, zero if not known.
	RetryAfter time.Duration
	// MayHaveRun overrides an Execution of NotRun: the work may have been done,
	// because the request repeats one for which it is unknown whether it ran.
	MayHaveRun bool
}

// New returns an Error with a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns the first Error in err's chain, or an Error with code Internal if
// there is none. It returns nil for nil.
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

// OfRepeat returns a copy of the error for a request that was sent before as well, and may
// have run then. It returns nil for nil.
func (err *Error) OfRepeat() *Error {
	if err == nil {
		return nil
	}
	repeated := *err
	repeated.MayHaveRun = true
	return &repeated
}

// WithRetryAfter returns a copy of the error with the given retry delay.
func (err *Error) WithRetryAfter(delay time.Duration) *Error {
	delayed := *err
	delayed.RetryAfter = delay
	return &delayed
}

// Error returns the code's number, name and message.
func (err *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", err.Code, err.Code.Name(), err.Message)
}

// ExecutionOf returns whether the request that got err ran. It returns Ran for nil.
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
