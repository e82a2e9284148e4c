package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/route"
	"gitlab.com/curranttiller/curranttiller/pkg/admit"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// smallAccount may hold a number of bytes.
type smallAccount struct {
	left int
}

// Hold implements admit.Account.
func (a *smallAccount) Hold(size int) bool {
	if size > a.left {
		return false
	}
	a.left -= size
	return true
}

// Yield implements admit.Account.
func (*smallAccount) Yield() bool { return false }

// Record implements admit.Account.
func (*smallAccount) Record() admit.Record { return admit.Record{} }

func TestReadPrefix(t *testing.T) {
	tests := []struct {
		name string
		// length is that of the answer, and room what may be held of it.
		length, room int
		whole        bool
		atMost       int
	}{
		{name: "empty", room: 1 << 20, whole: true},
		{name: "short", length: 100, room: 1 << 20, whole: true, atMost: 100},
		{name: "longest that is held", length: maxBufferedAnswerBytes, room: 1 << 20, whole: true, atMost: maxBufferedAnswerBytes},
		{name: "longer", length: maxBufferedAnswerBytes + 1, room: 1 << 20, atMost: maxBufferedAnswerBytes + 1},
		{name: "little room", length: 100_000, room: 10 << 10, atMost: 10 << 10},
		{name: "no room", length: 100_000, atMost: minPrefixBytes},
		{name: "no room for a short answer", length: 100, whole: true, atMost: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Repeat("a", tt.length)
			body := iotest.HalfReader(strings.NewReader(text))
			ctx := admit.WithAccount(t.Context(), &smallAccount{left: tt.room})
			prefix, whole, err := readPrefix(ctx, body)
			is.NoErr(err)
			is.Equal(whole, tt.whole)
			is.True(len(prefix) <= tt.atMost)
			rest, err := io.ReadAll(body)
			is.NoErr(err)
			is.Equal(string(prefix)+string(rest), text) // nothing is lost
		})
	}
}

func TestBodyThatMayNotBeHeldIsRefused(t *testing.T) {
	for _, length := range []int64{5000, -1} {
		is := is.New(t)
		ctx := admit.WithAccount(context.Background(), &smallAccount{left: 1000})
		request := &route.Request{Method: http.MethodPost, Body: strings.NewReader(strings.Repeat("b", 5000)), ContentLength: length}
		_, err := newRequestBody(ctx, request)
		failed := (&Daemon{}).bodyFault(err)
		is.Equal(failed.Status, http.StatusServiceUnavailable)
		is.Equal(failed.Verdict, fault.NotRun)
		is.Equal(failed.Reason, admit.ReasonMemoryFull)
	}
}
