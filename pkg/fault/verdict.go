package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict says whether the work of a request may have run at a target.
type Verdict int

const (
	// MayHaveRun means that nobody on the path can tell; it is the zero value because it is always safe.
	MayHaveRun Verdict = iota
	// NotRun means that the work certainly did not run, so that a retry is safe.
	NotRun
	// Ran means that the work certainly ran.
	Ran
)

// String returns the Pascal case name that headers and events carry.
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

// ParseVerdict returns the verdict of a header value; anything unknown is MayHaveRun.
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

// Error is a failed request with its verdict, the HTTP status for the caller and the cause.
type Error struct {
	// Verdict says whether the work may have run.
	Verdict Verdict
	// Status is the HTTP status that a caller gets.
	Status int
	// Reason is a short Pascal case name of the failure for headers, metrics and events.
	Reason string
	// RetryAfter is when another try may succeed; zero if nothing is known.
	RetryAfter time.Duration

	cause error
}

// New returns an error without an underlying cause.
func New(verdict Verdict, status int, reason string) *Error {
	return &Error{Verdict: verdict, Status: status, Reason: reason}
}

// Wrap returns an error caused by cause.
func Wrap(cause error, verdict Verdict, status int, reason string) *Error {
	return &Error{Verdict: verdict, Status: status, Reason: reason, cause: eris.Wrap(cause, reason)}
}

// Error returns the reason, the verdict and the cause.
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

// WithRetryAfter returns a copy that says when another try may succeed.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	changed := *e
	changed.RetryAfter = after
	return &changed
}

// VerdictOf returns the verdict of the first *Error in the chain of err, and MayHaveRun without one.
func VerdictOf(err error) Verdict {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Verdict
	}
	return MayHaveRun
}
