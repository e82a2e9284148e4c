package route

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/pkg/fault"
	"gitlab.com/curranttiller/curranttiller/pkg/header"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// ErrTruncated says that an answer broke off after its head was sent; the receiver's connection must be aborted.
var ErrTruncated = eris.New("the answer was cut after its head")

// Request is a caller's request inside the system.
type Request struct {
	// ID names the request in events and logs.
	ID string
	// Service is the name of the service asked for.
	Service string
	// Method, URI, Header and Body are those of the HTTP request; URI is what the target gets.
	Method        string
	URI           string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Patience is how long the caller said it waits, whatever limits Deadline; zero if it did not say.
	Patience time.Duration
	// Terms are what the operator's route grants the request, or nil without routes.
	Terms *table.Terms
	// Forwarded requests came from another entry host and are not passed on again.
	Forwarded bool
}

// IsIdempotent reports whether the request may be sent more than once.
func (r *Request) IsIdempotent() bool {
	if r.Terms != nil {
		return r.Terms.Idempotent
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// IsKeyed reports whether the request may be submitted again under its idempotency key.
func (r *Request) IsKeyed() bool {
	return r.Terms == nil && !r.IsIdempotent() && r.Header.Get(header.IdempotencyKey) != ""
}

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a head without the fields that belong to one connection.
func EndToEnd(from http.Header) http.Header {
	to := from.Clone()
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	return to
}

// errorBody is the body of an answer that the entry host makes itself.
type errorBody struct {
	Reason    string
	Verdict   string
	RequestID string
}

// WriteFault answers a request with an error and its verdict.
func WriteFault(w http.ResponseWriter, id string, failed *fault.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(header.Verdict, failed.Verdict.String())
	h.Set(header.Reason, failed.Reason)
	h.Set(header.RequestID, id)
	body, _ := json.Marshal(errorBody{Reason: failed.Reason, Verdict: failed.Verdict.String(), RequestID: id})
	w.WriteHeader(failed.Status)
	_, _ = w.Write(append(body, '\n'))
}

// AsFault returns err as a *fault.Error; an unknown error may have run.
func AsFault(err error) *fault.Error {
	var failed *fault.Error
	if errors.As(err, &failed) {
		return failed
	}
	return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "Internal")
}
