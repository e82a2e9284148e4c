package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict says whether a request ran at a target.
type Verdict int

const (
	// MayHaveRun means that it is not known whether the request ran. It is the zero value,
	// because it never leads to an unsafe retry.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run, so that a retry is safe.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the name of the constant, as headers and events carry it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// ParseVerdict returns the verdict of a header value. Unknown and empty values are MayHaveRun.
func ParseVerdict(value string) Verdict {
	switch value {
	case "NotRun":
		return NotRun
	case "Ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is the error of a failed request.
type Error struct {
	// Verdict says whether the request ran.
	Verdict Verdict
	// Status is the HTTP status of the response to the caller.
	Status int
	// Reason identifies the kind of failure in headers, metrics and events. It is a
	// short name in Pascal case.
	Reason string
	// RetryAfter is the time after which a retry may succeed, or zero if that is not known.
	RetryAfter time.Duration

	cause error
}

// New returns an error that wraps no other.
func New(verdict Verdict, status int, reason string) *Error {
	return &Error{Verdict: verdict, Status: status, Reason: reason}
}

// Wrap returns an error that wraps its cause. The message of the cause is prefixed with the reason.
func Wrap(cause error, verdict Verdict, status int, reason string) *Error {
	return &Error{Verdict: verdict, Status: status, Reason: reason, cause: eris.Wrap(cause, reason)}
}

// Error returns the reason, the verdict and the message of the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// WithVerdict returns a copy with another verdict.
func (e *Error) WithVerdict(verdict Verdict) *Error {
	changed := *e
	changed.Verdict = verdict
	return &changed
}

// WithRetryAfter returns a copy with another RetryAfter.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	changed := *e
	changed.RetryAfter = after
	return &changed
}

// VerdictOf returns the verdict of the first *Error that err is or wraps, or MayHaveRun if there is none.
func VerdictOf(err error) Verdict {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Verdict
	}
	return MayHaveRun
}
