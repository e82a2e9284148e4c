package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/server"
)

const (
	overheadRequestsPerSecond = 1000
	overheadDuration          = 10 * time.Second
	overheadSlots             = 64
	overheadTargets           = 4
	overheadServiceTime       = 0
	saturateDuration          = 5 * time.Second
	saturateWorkers           = 64
	maxLatencyMicros          = 10_000_000
	profileSeconds            = 4
)

// Overhead prints the latency that one entry host adds to a request and the number of requests per second
// that it forwards per core. It writes a CPU profile of the entry host to entry.pprof in the folder.
func Overhead(ctx context.Context, program, standin, folder string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "curranttiller-overhead-")
	if err != nil {
		return eris.Wrap(err, "creating a temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, &fleet.Options{
		Program: program, Standin: standin, Dir: dir, Hosts: 1, Domains: 1, NoProxy: true, Retention: time.Hour,
		SettingsLines: "\n[Observability]\nPprof = On\n",
		Services: []fleet.Service{{
			Name: "reservas", Targets: overheadTargets, Slots: overheadSlots,
			DocumentLines: "[Limits]\nConnectionsPerTarget = 4000\nEntryHostsAtMost = 40\n[Retries]\nHedgeQuantile = 1\n",
		}},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.PublishDocuments(ctx); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * saturateWorkers}}
	direct := "http://" + f.Targets[0].DirectAddress + "/x"
	through := "http://" + f.Hosts[0].CallerAddress + "/svc/reservas/x"
	// Requests alternate between the two paths, so that both meet the same other load on the test machine.
	histograms := measureAlternating(ctx, client, []string{direct, through})
	for i, name := range []string{"direct to a target", "through an entry host"} {
		fmt.Fprintf(out, "%-22s p50 %.3f ms   p99 %.3f ms\n", name, quantileMillis(histograms[i], 50), quantileMillis(histograms[i], 99))
	}
	fmt.Fprintf(out, "added                  p50 %.3f ms   p99 %.3f ms\n",
		quantileMillis(histograms[1], 50)-quantileMillis(histograms[0], 50), quantileMillis(histograms[1], 99)-quantileMillis(histograms[0], 99))
	return saturate(ctx, client, f, through, folder, out)
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// measureAlternating sends overheadRequestsPerSecond requests per second in all, to one URL after the other. It
// returns a histogram for each URL with the latencies in µs of the requests that got a response. Latencies above
// maxLatencyMicros are left out.
func measureAlternating(ctx context.Context, client *http.Client, urls []string) []*hdrhistogram.Histogram {
	histograms := make([]*hdrhistogram.Histogram, len(urls))
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	var mu sync.Mutex
	var sending sync.WaitGroup
	start := time.Now()
	for n := range int(overheadRequestsPerSecond * overheadDuration.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / overheadRequestsPerSecond)))
		index := n % len(urls)
		sending.Go(func() {
			sent := time.Now()
			if get(ctx, client, urls[index], overheadServiceTime) == nil {
				mu.Lock()
				defer mu.Unlock()
				_ = histograms[index].RecordValue(time.Since(sent).Microseconds())
			}
		})
	}
	sending.Wait()
	return histograms
}

// get sends a request that occupies a slot of the target for serviceTime, and reads the response. It does not
// check the status.
func get(ctx context.Context, client *http.Client, url string, serviceTime time.Duration) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set(server.WorkMicrosHeader, strconv.FormatInt(serviceTime.Microseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// saturate sends requests from saturateWorkers workers for saturateDuration. Each worker sends its next request
// when it has the response and ends at the first error. It prints the number of responses per second of the
// entry host's CPU time. A CPU profile is recorded meanwhile.
func saturate(ctx context.Context, client *http.Client, f *fleet.Fleet, url, folder string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, saturateDuration)
	defer cancel()
	before := readCPUSeconds(f.Hosts[0].PID())
	started := time.Now()
	var mu sync.Mutex
	count := 0
	var sending sync.WaitGroup
	for range saturateWorkers {
		sending.Go(func() {
			completed := 0
			for get(ctx, client, url, 0) == nil {
				completed++
			}
			mu.Lock()
			defer mu.Unlock()
			count += completed
		})
	}
	profileErr := saveProfile(f.Hosts[0].AdminAddress, folder)
	sending.Wait()
	seconds := time.Since(started).Seconds()
	cores := (readCPUSeconds(f.Hosts[0].PID()) - before) / seconds
	fmt.Fprintf(out, "at saturation: %.0f requests per second on %.2f cores of the entry host (of %d in the machine), %.0f requests per second per core\n",
		float64(count)/seconds, cores, runtime.NumCPU(), float64(count)/seconds/cores)
	return profileErr
}

// saveProfile records a CPU profile of the entry host and writes it to entry.pprof in a folder.
func saveProfile(address, folder string) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "creating the results folder")
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", address, profileSeconds), http.NoBody)
	if err != nil {
		return eris.Wrap(err, "requesting a CPU profile")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "requesting a CPU profile")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "reading the CPU profile")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(folder, "entry.pprof"), text, 0o600), "writing the CPU profile")
}
