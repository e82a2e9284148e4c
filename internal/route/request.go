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
	"gitlab.com/curranttiller/curranttiller/pkg/orgs"
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// ErrTruncated means that an answer broke off after its header was sent. The connection on
// which the answer was sent must be aborted, so that the answer doesn't look complete.
var ErrTruncated = eris.New("answer was truncated after its header was sent")

// Request is a caller's request.
type Request struct {
	// ID identifies the request in events and logs.
	ID string
	// Service is the name of the requested service.
	Service string
	Method  string
	// URI is the path and query that the target gets.
	URI string
	// Header includes the host name as "Host".
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body, or -1 if it is unknown.
	ContentLength int64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Patience is the time limit that the caller sent with the request, which may be a retry
	// by the caller. It is zero if the caller sent none. Deadline may be earlier because of
	// other limits.
	Patience time.Duration
	// Terms are the settings of the operator's route for the request, such as the number
	// of attempts. They are nil if there are no routes.
	Terms *table.Terms
	// Organisation is the organisation that holds the caller's key. It is nil if there are no
	// organisations or if the route needs no key.
	Organisation *orgs.Organisation
	// Key is the digest of that key, by which it is checked again before each attempt.
	Key orgs.Digest
	// Forwarded is set if another entry host forwarded the request. It is then not
	// forwarded again.
	Forwarded bool
}

// IsIdempotent reports whether the request may run more than once. Without a route this
// follows from its method.
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

// IsKeyed reports whether the request must run at most once although the caller may
// submit it again, which holds for non-idempotent requests with an idempotency key.
// Requests with a route never count as keyed.
func (r *Request) IsKeyed() bool {
	return r.Terms == nil && !r.IsIdempotent() && r.Header.Get(header.IdempotencyKey) != ""
}

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields, which are only meant
// for one connection.
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

// errorBody is the JSON body of an error answer that comes from the entry host, not from
// a target.
type errorBody struct {
	Reason    string
	Verdict   string
	RequestID string
}

// WriteFault writes an error and its verdict as the answer to a request. id is the ID of
// the request.
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

// AsFault returns the *fault.Error in the chain of err, or else a new one with the
// verdict MayHaveRun.
func AsFault(err error) *fault.Error {
	var failed *fault.Error
	if errors.As(err, &failed) {
		return failed
	}
	return fault.Wrap(err, fault.MayHaveRun, http.StatusBadGateway, "Internal")
}
