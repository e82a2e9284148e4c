package entry

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/route"
)

// TestBodyAllowsOneAttemptOrIsInMemory guards against two attempts that share what is left
// of a body (issue 30, review/1).
func TestBodyAllowsOneAttemptOrIsInMemory(t *testing.T) {
	tests := []struct {
		name       string
		size       int
		hasLength  bool
		isInMemory bool
	}{
		{"empty", 0, true, true},
		{"empty in chunks", 0, false, true},
		{"largest in memory", maxReplayBodyBytes, true, true},
		{"largest in memory in chunks", maxReplayBodyBytes, false, true},
		{"longer", maxReplayBodyBytes + 1, true, false},
		{"longer in chunks", maxReplayBodyBytes + 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sent := bytes.Repeat([]byte("b"), tt.size)
			request := &route.Request{Method: http.MethodPost, Body: bytes.NewReader(sent), ContentLength: -1}
			if tt.hasLength {
				request.ContentLength = int64(tt.size)
			}
			body, err := newRequestBody(t.Context(), request)
			is.NoErr(err)
			is.Equal(body.attemptsAtMost(3) == 3, tt.isInMemory)
			attempts := 0
			for attempts < 3 && body.canBeTaken() {
				got, err := io.ReadAll(body.take())
				is.NoErr(err)
				is.Equal(len(got), tt.size)
				attempts++
			}
			is.Equal(attempts == 3, tt.isInMemory)
			if tt.isInMemory {
				is.Equal(request.ContentLength, int64(tt.size))
			}
		})
	}
}
