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
)

const (
	fetchTimeout  = 2 * time.Second
	maxFetchBytes = 64 << 20
)

// fetch reads a JSON answer of an entry host's admin address.
func fetch[T any](ctx context.Context, address, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return answer, eris.Wrapf(err, "asking entry host %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, eris.Wrapf(err, "asking entry host %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("entry host %s answered %s with status %d", address, path, response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes))
	if err != nil {
		return answer, eris.Wrapf(err, "reading the answer of entry host %s", address)
	}
	return answer, eris.Wrapf(json.Unmarshal(text, &answer), "decoding the answer of entry host %s", address)
}

// hostAnswer is the answer of one host.
type hostAnswer[T any] struct {
	address string
	answer  T
	err     error
}

// fetchAll asks several hosts at once and returns their answers in the same order.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []hostAnswer[T] {
	results := make([]hostAnswer[T], len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() {
			answer, err := fetch[T](ctx, address, path)
			results[i] = hostAnswer[T]{address: address, answer: answer, err: err}
		})
	}
	asking.Wait()
	return results
}

// discover asks the given hosts in turn for the admin addresses of all living hosts.
func discover(ctx context.Context, addresses []string) ([]string, *admin.Status, error) {
	err := eris.New("no admin address given")
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
