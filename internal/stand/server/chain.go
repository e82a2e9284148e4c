package server

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/header"
)

// forwardedHeaders are copied unchanged from a request to its nested call.
var forwardedHeaders = []string{WorkMicrosHeader, ChainURLHeader, header.Depth, header.Retry}

// callNext makes the nested call that a request asks for, with the remaining time of
// its deadline. It returns the status of the call, 502 if the call got no response, or
// 200 if no call was requested.
func callNext(r *http.Request, received time.Time) (status int) {
	left, err := strconv.Atoi(r.Header.Get(ChainHeader))
	if err != nil || left < 1 {
		return http.StatusOK
	}
	next, err := http.NewRequestWithContext(r.Context(), http.MethodGet, r.Header.Get(ChainURLHeader), http.NoBody)
	if err != nil {
		return http.StatusBadGateway
	}
	for _, name := range forwardedHeaders {
		next.Header.Set(name, r.Header.Get(name))
	}
	next.Header.Set(ChainHeader, strconv.Itoa(left-1))
	millis, _ := strconv.ParseInt(r.Header.Get(header.DeadlineMillis), 10, 64)
	next.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(millis-time.Since(received).Milliseconds(), 0), 10))
	response, err := http.DefaultClient.Do(next)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
