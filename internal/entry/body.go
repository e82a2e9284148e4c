package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/choose"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// maxReplayBodyBytes is the largest request body that is read into memory, so that
// another attempt can send it again.
const maxReplayBodyBytes = 64 << 10

// errMemoryFull means that no more bytes may be held for callers.
var errMemoryFull = errors.New("no more bytes may be held for callers")

// requestBody is the body of a request. If it is whole in memory, every attempt reads it
// from its start. Otherwise it is still arriving and belongs to the first attempt that
// takes it, so that the request can't have another one. Every kind of attempt asks here:
// retries, hedges and rescues through attemptsAtMost, and requests that are forwarded to
// another host and then served here through canBeTaken.
type requestBody struct {
	buffered []byte
	// stream is nil if the body is in memory or there is none.
	stream  *arrivingBody
	hasBody bool
	isTaken bool
}

// newRequestBody reads a body of at most maxReplayBodyBytes into memory, and sets its
// length in the request if that was unknown. A non-idempotent request keeps a body of
// length zero, because net/http may send a request without a body twice.
func newRequestBody(ctx context.Context, request *route.Request) (*requestBody, error) {
	switch {
	case request.IsIdempotent() && request.ContentLength == 0:
		return &requestBody{}, nil
	case request.ContentLength > maxReplayBodyBytes:
		return &requestBody{stream: newArrivingBody(request.Body), hasBody: true}, nil
	case request.ContentLength < 0:
		return newBodyOfUnknownLength(ctx, request)
	}
	if !admit.FromContext(ctx).Hold(int(request.ContentLength)) {
		return nil, errMemoryFull
	}
	buffered := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, buffered); err != nil {
		return nil, err
	}
	return &requestBody{buffered: buffered, hasBody: true}, nil
}

func newBodyOfUnknownLength(ctx context.Context, request *route.Request) (*requestBody, error) {
	body := heldReader{Reader: request.Body, account: admit.FromContext(ctx)}
	buffered, err := io.ReadAll(io.LimitReader(body, maxReplayBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(buffered) > maxReplayBodyBytes {
		return &requestBody{stream: newArrivingBody(io.MultiReader(bytes.NewReader(buffered), request.Body)), hasBody: true}, nil
	}
	request.ContentLength = int64(len(buffered))
	return &requestBody{buffered: buffered, hasBody: true}, nil
}

// arrivingBody is a body that its caller sends while an attempt reads it.
type arrivingBody struct {
	io.Reader

	// arrived is closed when the whole body has been read, at arrivedAt.
	arrived   chan struct{}
	arrivedAt time.Time
	// hasFailed is set when the caller has not sent the rest.
	hasFailed atomic.Bool
}

func newArrivingBody(body io.Reader) *arrivingBody {
	return &arrivingBody{Reader: body, arrived: make(chan struct{})}
}

// Read implements io.Reader. Only one attempt reads the body.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF) && b.arrivedAt.IsZero():
		b.arrivedAt = time.Now()
		close(b.arrived)
	case err != nil && !errors.Is(err, io.EOF):
		b.hasFailed.Store(true)
	}
	return n, err
}

// arrived returns a channel that is closed when a body that is not in memory has arrived. It
// is nil for other bodies.
func (b *requestBody) arrived() <-chan struct{} {
	if b.stream == nil {
		return nil
	}
	return b.stream.arrived
}

// hasFailed reports whether the caller has not sent the rest of the body.
func (b *requestBody) hasFailed() bool {
	return b.stream != nil && b.stream.hasFailed.Load()
}

// sinceArrival returns how much of the time since an attempt was sent its target had the whole
// body. It is all of the time if the body was in memory or has not arrived.
func (b *requestBody) sinceArrival(sinceSent time.Duration) time.Duration {
	select {
	case <-b.arrived():
		return min(sinceSent, time.Since(b.stream.arrivedAt))
	default:
		return sinceSent
	}
}

// heldReader counts what is read as held and fails when no more may be held.
type heldReader struct {
	io.Reader

	account admit.Account
}

// Read implements io.Reader.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.account.Hold(n) {
		return 0, errMemoryFull
	}
	return n, err
}

// canBeTaken reports whether another attempt may have the body.
func (b *requestBody) canBeTaken() bool {
	return b.stream == nil || !b.isTaken
}

// take returns the body for one attempt, nil if there is none. It must not be called if
// canBeTaken returns false.
func (b *requestBody) take() io.Reader {
	b.isTaken = true
	switch {
	case !b.hasBody:
		return nil
	case b.stream != nil:
		return b.stream
	default:
		return bytes.NewReader(b.buffered)
	}
}

// attemptsAtMost returns how many attempts the request may have if its route allows the
// given number.
func (b *requestBody) attemptsAtMost(allowed int) int {
	if b.stream != nil {
		return 1
	}
	return allowed
}

// bodyFault returns the error of a request whose body could not be read.
func (d *Daemon) bodyFault(cause error) *fault.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(cause, errMemoryFull):
		return fault.Wrap(cause, fault.NotRun, http.StatusServiceUnavailable, admit.ReasonMemoryFull)
	case errors.As(cause, &tooLarge):
		return fault.Wrap(cause, fault.NotRun, http.StatusRequestEntityTooLarge, "BodyTooLarge")
	case d.areRequestsEnded():
		return fault.Wrap(cause, fault.NotRun, http.StatusServiceUnavailable, choose.ReasonStopping)
	default:
		return fault.Wrap(cause, fault.NotRun, http.StatusBadRequest, "BodyUnreadable")
	}
}
