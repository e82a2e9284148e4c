package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
	"gitlab.com/curranttiller/curranttiller/internal/answer"
)

const (
	// fetchTimeout is the time limit of one request to an entry host.
	fetchTimeout = 2 * time.Second
	// fetchIdleTimeout is how long an idle connection to an entry host is kept open.
	fetchIdleTimeout = 30 * time.Second
	// maxFetchBytes is the largest size of an answer. A longer one is truncated and then
	// fails to decode.
	maxFetchBytes = 64 << 20
)

var fetchClient = &http.Client{Transport: answer.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: fetchIdleTimeout})}

// fetch requests a path from the admin address of an entry host and decodes the JSON
// answer. A status other than 200 is an error.
func fetch[T any](ctx context.Context, address, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return answer, eris.Wrapf(err, "requesting from entry host %s", address)
	}
	response, err := fetchClient.Do(request)
	if err != nil {
		return answer, eris.Wrapf(err, "requesting from entry host %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("entry host %s answered %s with status %d", address, path, response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes))
	if err != nil {
		return answer, eris.Wrapf(err, "reading the answer of entry host %s to %s", address, path)
	}
	return answer, eris.Wrapf(json.Unmarshal(text, &answer), "decoding the answer of entry host %s to %s", address, path)
}

// hostAnswer is the answer of the entry host at an admin address, or the error of the request.
type hostAnswer[T any] struct {
	address string
	answer  T
	err     error
}

// fetchAll sends the same request to several entry hosts concurrently and returns their
// answers in the order of the addresses.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []hostAnswer[T] {
	results := make([]hostAnswer[T], len(addresses))
	var requests sync.WaitGroup
	for i, address := range addresses {
		requests.Go(func() {
			answer, err := fetch[T](ctx, address, path)
			results[i] = hostAnswer[T]{address: address, answer: answer, err: err}
		})
	}
	requests.Wait()
	return results
}

// discover requests the status from the given admin addresses one after another until an
// entry host answers. It returns this status, and the admin addresses of all hosts that
// the status lists as alive or leaving. If no host answers, it returns the last error.
func discover(ctx context.Context, addresses []string) ([]string, *admin.Status, error) {
	err := eris.New("no admin address of an entry host given, see --admin")
	for _, address := range addresses {
		var status admin.Status
		status, err = fetch[admin.Status](ctx, address, "/tiller/status")
		if err != nil {
			continue
		}
		var all []string
		for i := range status.Members {
			if status.Members[i].State != "Failed" {
				all = append(all, status.Members[i].AdminAddress)
			}
		}
		return all, &status, nil
	}
	return nil, nil, err
}
