package target_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/target"
	"gitlab.com/curranttiller/curranttiller/pkg/fault"
)

// TestURIReachesTargetUnchanged checks that a target gets the bytes of the URI as they are,
// or that nothing is sent if net/http would change them.
func TestURIReachesTargetUnchanged(t *testing.T) {
	var received string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received = r.RequestURI }))
	defer server.Close()
	client := newClient()
	defer client.Close()
	tests := []struct {
		uri string
		// unsent says that nothing is sent.
		unsent bool
	}{
		{uri: "/x"},
		{uri: "/x?"},
		{uri: "/x??"},
		{uri: "/?"},
		{uri: "/x?y?"},
		{uri: "/x%2Fy%2f?%zz"},
		{uri: `/a|b"c`},
		{uri: "/a//b"},
		{uri: "//x"},
		{uri: "//x?"},
		{uri: "//x%2F?a=%20"},
		{uri: "//a|b", unsent: true},
		{uri: `//a"b?`, unsent: true},
		{uri: "", unsent: true},
		{uri: "x", unsent: true},
	}
	for _, test := range tests {
		t.Run(test.uri, func(t *testing.T) {
			is := is.New(t)
			received = ""
			answer, err := client.Do(t.Context(), &target.Request{
				Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: test.uri,
				Header: http.Header{}, Deadline: time.Now().Add(time.Second),
			})
			if test.unsent {
				is.Equal(fault.VerdictOf(err), fault.NotRun)
				is.Equal(received, "")
				return
			}
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			is.Equal(received, test.uri)
		})
	}
}

// TestTransportAsksBeforeItRepeats checks that net/http repeats a read after a connection
// broke that had carried requests only if MayRepeat allows it.
func TestTransportAsksBeforeItRepeats(t *testing.T) {
	tests := []struct {
		name string
		// mayRepeat is the answer of MayRepeat; nil leaves it out.
		mayRepeat func() bool
		runs      int64
		isLost    bool
	}{
		{name: "not asked", runs: 3},
		{name: "allowed", mayRepeat: func() bool { return true }, runs: 3},
		{name: "not allowed", mayRepeat: func() bool { return false }, runs: 2, isLost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startScriptedServer(t, okReply, "", okReply)
			client := newClient()
			defer client.Close()
			send := func() error {
				read := request(s, http.MethodGet, "")
				read.Body, read.ContentLength, read.MayRepeat = nil, 0, tt.mayRepeat
				answer, err := client.Do(t.Context(), read)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				return answer.Body.Close()
			}
			is.NoErr(send())
			time.Sleep(20 * time.Millisecond) // the connection is in the pool again
			err := send()
			is.Equal(err != nil, tt.isLost)
			if tt.isLost {
				is.Equal(fault.VerdictOf(err), fault.MayHaveRun)
			}
			is.Equal(s.runs.Load(), tt.runs)
		})
	}
}
