package target_test

import (
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
